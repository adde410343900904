import type {PieceGroup} from './pieceGroup.ts';

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
const RANKS = {begun: 0, timely: 1, late: 2} as const;

/**
 * Sorts waiting groups into the order in which they are to be computed: started
 * groups, then groups that can still meet their target, then late groups.
 * Started groups and timely groups are sorted by priority and then by target,
 * late groups by deadline.
 *
 * @param now monotonic milliseconds
 * @param call the most pieces and the fixed time of a call
 * @param isRemote whether a group's data is in another failure domain than the
 *     endpoint; by default no group counts as remote
 * @example
 *     const call = {batch: 7, callMilliseconds: 150};
 *     rankGroups(waiting, now, call)[0]?.rank; // 'begun'
 */
export function rankGroups<Group extends PieceGroup>(
  waiting: Iterable<Group>,
  now: number,
  call: {readonly batch: number; readonly callMilliseconds: number},
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
    return {group, rank, slackMilliseconds, dueAt};
  });
  return ranked.sort(
    (left, right) =>
      RANKS[left.rank] - RANKS[right.rank] ||
      (left.rank === 'late'
        ? left.group.deadlineAt - right.group.deadlineAt
        : left.group.priority - right.group.priority ||
          left.dueAt - right.dueAt),
  );
}
