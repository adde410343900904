import type {PieceGroup} from './pieceGroup.ts';
import {rankGroups} from './rankGroups.ts';

interface BatchEndpoint {
  /** The most pieces in one call. */
  readonly batch: number;
  /** Fixed time of a call, to which each piece adds its time. */
  readonly callMilliseconds: number;
  /**
   * Number of endpoints of the service; without it the calls are not shared
   * among client accounts.
   */
  readonly endpoints?: number;
  /** Free memory for results; negative if results exceed the memory. */
  readonly roomBytes: number;
  readonly failureDomain: string;
  /**
   * Expected milliseconds until the first endpoint of each other failure domain
   * is free. Failure domains without an endpoint are missing.
   */
  readonly otherDomainWaits: ReadonlyMap<string, number>;
}

/** The pieces of one group that go into a call. */
interface BatchShare<Group> {
  readonly group: Group;
  /** Number of pieces. */
  readonly count: number;
}

/**
 * A group is left to an endpoint in the failure domain of its data only if it
 * still has this much slack after the wait for that endpoint.
 */
const MINIMUM_SLACK_MILLISECONDS = 250;
/**
 * If the waiting pieces fill more calls than this, an endpoint takes groups
 * from any failure domain instead of leaving them to another endpoint.
 */
const MAXIMUM_BACKLOG_CALLS = 3;

/**
 * Picks the pieces of an endpoint's next call, in the order of `rankGroups`.
 *
 * Designed for bursts above the capacity of the endpoints:
 *
 * - If not all groups can be served in time, those beyond the share of their
 *   client account only use the part of the call that the others do not fill.
 * - Late groups only use the part of the call that started and timely groups do
 *   not fill.
 * - The results of a group occupy memory until its last piece is computed, so
 *   groups go into a call whole. At most one group is split, the first that
 *   does not fit, and only if no group fits whole or more pieces wait than a
 *   call holds. The rest of it then ranks as a started group.
 * - A call is never delayed to fill it: the next batch accumulates while an
 *   endpoint is busy.
 * - A group whose data is in another failure domain is left to an endpoint
 *   there if it has enough slack. If the backlog is long, the group is not left
 *   to another endpoint and only ranks lower.
 *
 * @param now monotonic milliseconds
 * @returns empty if nothing is to be sent to the endpoint now
 * @example
 *     planBatch(waiting, now, endpoint); // [{group: waiting[0], count: 8}]
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
  // A remote group has a failure domain, so `''` is never looked up. The wait
  // for a failure domain without an endpoint is infinite.
  const ranked = rankGroups(groups, now, endpoint, isRemote).filter(
    ({group, slackMilliseconds}) =>
      waitingCount > endpoint.batch * MAXIMUM_BACKLOG_CALLS ||
      !isRemote(group) ||
      slackMilliseconds <
        MINIMUM_SLACK_MILLISECONDS +
          (endpoint.otherDomainWaits.get(group.failureDomain ?? '') ??
            Infinity),
  );

  const shares: Array<BatchShare<Group>> = [];
  let remainingCount = endpoint.batch;
  let freeBytes = endpoint.roomBytes;
  let firstSkipped: Group | null = null;
  for (const {group} of ranked) {
    if (remainingCount === 0) break;
    const bytes = group.count * group.resultBytes;
    if (group.count <= remainingCount && bytes <= freeBytes) {
      shares.push({group, count: group.count});
      remainingCount -= group.count;
      freeBytes -= bytes;
    } else firstSkipped ??= group;
  }
  const maySplit =
    firstSkipped !== null &&
    (shares.length === 0 || waitingCount > endpoint.batch);
  if (maySplit && firstSkipped !== null) {
    const fittingCount =
      firstSkipped.resultBytes > 0
        ? Math.floor(freeBytes / firstSkipped.resultBytes)
        : remainingCount;
    const count = Math.min(
      remainingCount,
      firstSkipped.count,
      Math.max(0, fittingCount),
    );
    if (count > 0) shares.push({group: firstSkipped, count});
  }
  return shares;
}
