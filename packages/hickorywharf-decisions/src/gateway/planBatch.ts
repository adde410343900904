import type {PieceGroup} from './pieceGroup.ts';
import {rankGroups} from './rankGroups.ts';

interface BatchEndpoint {
  readonly batch: number;
  readonly callMilliseconds: number;
  /** Memory that the endpoint has left for results. */
  readonly roomBytes: number;
  readonly failureDomain: string;
  /** Time until an endpoint in each other failure domain is free. */
  readonly otherDomainWaits: ReadonlyMap<string, number>;
}

interface BatchShare<Group> {
  readonly group: Group;
  /** Pieces of the group that go into the call. */
  readonly count: number;
}

/** A group that waits for an endpoint nearer by keeps this much time. */
const SPARE_MILLISECONDS = 250;
/** With more calls' worth waiting, no endpoint is left idle for another. */
const PRESSURE_CALLS = 3;

/**
 * The pieces of the next call of an endpoint, in the order in which they count.
 *
 * Load pattern: bursts above what the endpoints can do. Groups that can still
 * be in time come first, the more urgent kinds before the less urgent ones and
 * the nearest target first; what is late already comes after them, by its
 * deadline, and uses what is left of the call. Results of a group wait for its
 * last piece and hold memory meanwhile: so groups go whole into a call, and one
 * that had to be cut goes first next time; groups are cut only while more waits
 * than a call holds. A call is never held back to fill: while an endpoint works,
 * the next one gathers by itself. A group with time to spare is left to an
 * endpoint in the failure domain of its data; where a lot waits, those
 * near their data only go before others of their kind.
 *
 * @example
 *     planBatch(waiting, now, endpoint);
 */
export function planBatch<Group extends PieceGroup>(
  waiting: Iterable<Group>,
  now: number,
  endpoint: BatchEndpoint,
): Array<BatchShare<Group>> {
  const isFar = ({failureDomain}: PieceGroup): boolean =>
    failureDomain !== null && failureDomain !== endpoint.failureDomain;
  const groups = [...waiting];
  const waitingCount = groups.reduce((sum, {count}) => sum + count, 0);
  const ranked = rankGroups(groups, now, endpoint, isFar).filter(
    ({group, slackMilliseconds: slackMilliseconds}) =>
      waitingCount > endpoint.batch * PRESSURE_CALLS ||
      !isFar(group) ||
      slackMilliseconds <
        SPARE_MILLISECONDS +
          (endpoint.otherDomainWaits.get(group.failureDomain ?? '') ??
            Infinity),
  );

  const shares: Array<BatchShare<Group>> = [];
  let slots = endpoint.batch;
  let room = endpoint.roomBytes;
  let firstLeft: Group | null = null;
  for (const {group} of ranked) {
    if (slots === 0) break;
    const bytes = group.count * group.resultBytes;
    if (group.count <= slots && bytes <= room) {
      shares.push({group, count: group.count});
      slots -= group.count;
      room -= bytes;
    } else firstLeft ??= group;
  }
  const isCut =
    firstLeft !== null &&
    (shares.length === 0 || waitingCount > endpoint.batch);
  if (isCut && firstLeft !== null) {
    const fitting =
      firstLeft.resultBytes > 0
        ? Math.floor(room / firstLeft.resultBytes)
        : slots;
    const count = Math.min(slots, firstLeft.count, Math.max(0, fitting));
    if (count > 0) shares.push({group: firstLeft, count});
  }
  return shares;
}
