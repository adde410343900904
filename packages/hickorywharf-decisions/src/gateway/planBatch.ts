import type {PieceGroup} from './pieceGroup.ts';
import {rankGroups} from './rankGroups.ts';

interface BatchEndpoint {
  /** The most pieces in one call. */
  readonly batch: number;
  /** Time of a call without its pieces. */
  readonly callMilliseconds: number;
  /** Memory that the endpoint has free for results. */
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

/** Slack that a group keeps while it waits for an endpoint near its data. */
const MINIMUM_SLACK_MILLISECONDS = 250;
/** With more calls' worth of pieces waiting, no endpoint idles for another. */
const PRESSURE_CALLS = 3;

/**
 * Picks the pieces of an endpoint's next call, in order of importance.
 *
 * Load pattern: bursts above the capacity of the endpoints.
 *
 * - Groups that can still meet their target go first, by priority and then by
 *   target. Late groups follow by deadline and use the rest of the call.
 * - The results of a group occupy memory until its last piece is computed, so
 *   groups go into a call whole, and a group that was split goes first next
 *   time. Groups are split only if no group fits whole, or while more pieces
 *   wait than a call holds.
 * - A call is never delayed to fill it: the next batch accumulates while an
 *   endpoint is busy.
 * - A group with enough slack is left to an endpoint in the failure domain of
 *   its data. While many pieces wait, groups whose data is local only go before
 *   others of the same priority.
 *
 * @example
 *     planBatch(waiting, now, endpoint);
 */
export function planBatch<Group extends PieceGroup>(
  waiting: Iterable<Group>,
  now: number,
  endpoint: BatchEndpoint,
): Array<BatchShare<Group>> {
  const isRemote = ({failureDomain}: PieceGroup): boolean =>
    failureDomain !== null && failureDomain !== endpoint.failureDomain;
  const groups = [...waiting];
  const waitingCount = groups.reduce((sum, {count}) => sum + count, 0);
  const ranked = rankGroups(groups, now, endpoint, isRemote).filter(
    ({group, slackMilliseconds}) =>
      waitingCount > endpoint.batch * PRESSURE_CALLS ||
      !isRemote(group) ||
      slackMilliseconds <
        MINIMUM_SLACK_MILLISECONDS +
          (endpoint.otherDomainWaits.get(group.failureDomain ?? '') ??
            Infinity),
  );

  const shares: Array<BatchShare<Group>> = [];
  let slots = endpoint.batch;
  let freeBytes = endpoint.roomBytes;
  let firstSkipped: Group | null = null;
  for (const {group} of ranked) {
    if (slots === 0) break;
    const bytes = group.count * group.resultBytes;
    if (group.count <= slots && bytes <= freeBytes) {
      shares.push({group, count: group.count});
      slots -= group.count;
      freeBytes -= bytes;
    } else firstSkipped ??= group;
  }
  const isSplit =
    firstSkipped !== null &&
    (shares.length === 0 || waitingCount > endpoint.batch);
  if (isSplit && firstSkipped !== null) {
    const fitting =
      firstSkipped.resultBytes > 0
        ? Math.floor(freeBytes / firstSkipped.resultBytes)
        : slots;
    const count = Math.min(slots, firstSkipped.count, Math.max(0, fitting));
    if (count > 0) shares.push({group: firstSkipped, count});
  }
  return shares;
}
