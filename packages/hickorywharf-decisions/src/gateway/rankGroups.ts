import type {PieceGroup} from './pieceGroup.ts';
import {placeByShare} from './placeByShare.ts';

interface RankedGroup<Group> {
  readonly group: Group;
  readonly rank: keyof typeof RANKS;
  /**
   * Time from the expected end of a call that starts now to the group's target;
   * negative if the target would be missed.
   */
  readonly slackMilliseconds: number;
  /**
   * The target, or later for a remote group, in monotonic milliseconds. Orders
   * started or timely groups of the same priority.
   */
  readonly dueAt: number;
  /** Expected time that the endpoints of the service take for the group. */
  readonly costMilliseconds: number;
}

interface CallLimits {
  /** The most pieces in one call. */
  readonly batch: number;
  /** Fixed time of a call, to which each piece adds its time. */
  readonly callMilliseconds: number;
  /**
   * Number of endpoints; without it the groups are not shared among accounts.
   */
  readonly endpoints?: number;
}

/**
 * Added to the target of a group whose data is in another failure domain than
 * the endpoint, so that another group of the same rank and priority goes first
 * even if its target is up to this much later.
 */
const REMOTE_DELAY_MILLISECONDS = 500;

/**
 * Started groups go first, as their results occupy memory until the last piece
 * is computed.
 */
const RANKS = {begun: 0, timely: 1, over: 2, late: 3, lateOver: 4} as const;

/**
 * Sorts waiting groups into the order in which they are to be computed: started
 * groups, then groups that can still meet their target, then late groups.
 * Started groups and timely groups are sorted by priority and then by target,
 * late groups by deadline.
 *
 * Where not all timely groups can be computed by their targets, or not all late
 * ones by their deadlines, those that exceed the max-min share of their client
 * account rank after the others. The timely ones within the shares are taken
 * from all accounts alike, in the order above within each. Designed for a burst
 * of one account, whose calls alone would fill the queue.
 *
 * @param now monotonic milliseconds
 * @param call limits of a call and of the service
 * @param isRemote whether a group's data is in another failure domain than the
 *     endpoint; by default no group counts as remote
 * @example
 *     const call = {batch: 7, callMilliseconds: 150};
 *     rankGroups(waiting, now, call)[0]?.rank; // 'begun'
 */
export function rankGroups<Group extends PieceGroup>(
  waiting: Iterable<Group>,
  now: number,
  call: CallLimits,
  isRemote: (group: Group) => boolean = () => false,
): Array<RankedGroup<Group>> {
  const ranked = Array.from(waiting, (group): RankedGroup<Group> => {
    const work = group.workMilliseconds * Math.min(group.count, call.batch);
    const expectedEndAt = now + call.callMilliseconds + work;
    const slackMilliseconds = group.targetAt - expectedEndAt;
    const rank = group.isStarted
      ? 'begun'
      : slackMilliseconds >= 0
        ? 'timely'
        : 'late';
    const delay = isRemote(group) ? REMOTE_DELAY_MILLISECONDS : 0;
    const dueAt = group.targetAt + delay;
    const costMilliseconds =
      (group.count *
        (call.callMilliseconds / call.batch + group.workMilliseconds)) /
      (call.endpoints ?? 1);
    return {group, rank, slackMilliseconds, dueAt, costMilliseconds};
  });
  ranked.sort(
    (left, right) =>
      RANKS[left.rank] - RANKS[right.rank] ||
      (left.rank === 'late'
        ? left.group.deadlineAt - right.group.deadlineAt
        : left.group.priority - right.group.priority ||
          left.dueAt - right.dueAt),
  );
  if (!call.endpoints) return ranked;
  return shareAmongAccounts(
    ranked,
    ({group, rank, slackMilliseconds}, startMilliseconds) =>
      rank === 'late'
        ? now + startMilliseconds + call.callMilliseconds <= group.deadlineAt
        : startMilliseconds <= slackMilliseconds,
  );
}

/**
 * Moves what exceeds the share of its account behind the other groups of its
 * rank, if not all of these can be served, and takes the other timely ones from
 * all accounts alike.
 *
 * @param isServed whether a group would be, if it started after this time
 */
function shareAmongAccounts<Group extends PieceGroup>(
  ranked: Array<RankedGroup<Group>>,
  isServed: (each: RankedGroup<Group>, startMilliseconds: number) => boolean,
): Array<RankedGroup<Group>> {
  const room = {timely: 0, late: 0};
  const missing = {timely: 0, late: 0};
  let startMilliseconds = 0;
  for (const each of ranked) {
    const {rank, costMilliseconds} = each;
    if (rank === 'timely' || rank === 'late') {
      const sums = isServed(each, startMilliseconds) ? room : missing;
      sums[rank] += costMilliseconds;
    }
    startMilliseconds += costMilliseconds;
  }
  if (missing.timely === 0 && missing.late === 0) return ranked;
  const place = (rank: 'timely' | 'late') =>
    missing[rank] === 0
      ? new Map<Group, never>()
      : placeByShare(
          ranked
            .filter((each) => each.rank === rank)
            .map(({group, costMilliseconds}) => ({
              item: group,
              account: group.account ?? null,
              milliseconds: costMilliseconds,
            })),
          room[rank],
        );
  const timely = place('timely');
  const late = place('late');
  return ranked
    .map((each) => {
      // What was made for earlier stages is not to be thrown away.
      if (each.group.hasInputs) return each;
      if (timely.get(each.group)?.isOver) {
        return {...each, rank: 'over' as const};
      }
      if (late.get(each.group)?.isOver) {
        return {...each, rank: 'lateOver' as const};
      }
      return each;
    })
    .sort((left, right) => {
      const start = timely.get(left.group)?.startMilliseconds ?? 0;
      const otherStart = timely.get(right.group)?.startMilliseconds ?? 0;
      return (
        RANKS[left.rank] - RANKS[right.rank] ||
        (left.rank === 'timely' ? start - otherStart : 0)
      );
    });
}
