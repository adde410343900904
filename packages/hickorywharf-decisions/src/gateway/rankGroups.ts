import type {PieceGroup} from './pieceGroup.ts';

interface RankedGroup<Group> {
  readonly group: Group;
  readonly rank: keyof typeof RANKS;
  /** Time between the end of a call that starts now and the group's target. */
  readonly slackMilliseconds: number;
  /** Orders groups of the same rank and priority. */
  readonly dueAt: number;
}

/** How much later a group whose data is remote counts as due. */
const REMOTE_DELAY_MILLISECONDS = 500;

/** Started groups go first, as they occupy memory until all is computed. */
const RANKS = {begun: 0, timely: 1, late: 2} as const;

/**
 * Sorts waiting groups into the order in which they are to be computed: started
 * groups, then groups that can still meet their target by priority and target,
 * then the rest by deadline.
 *
 * @param isRemote whether a group's data is in another failure domain
 * @example
 *     rankGroups(waiting, now, {batch: 7, callMilliseconds: 150});
 */
export function rankGroups<Group extends PieceGroup>(
  waiting: Iterable<Group>,
  now: number,
  call: {readonly batch: number; readonly callMilliseconds: number},
  isRemote: (group: Group) => boolean = () => false,
): Array<RankedGroup<Group>> {
  const ranked = Array.from(waiting, (group): RankedGroup<Group> => {
    const work = group.workMilliseconds * Math.min(group.count, call.batch);
    const doneAt = now + call.callMilliseconds + work;
    const slackMilliseconds = group.targetAt - doneAt;
    const rank = group.isBegun
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
