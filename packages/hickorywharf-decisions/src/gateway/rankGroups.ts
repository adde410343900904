import type {PieceGroup} from './pieceGroup.ts';

interface RankedGroup<Group> {
  readonly group: Group;
  readonly rank: keyof typeof RANKS;
  /** Time to spare until the target if it went into a call now. */
  readonly slackMilliseconds: number;
  /** By which groups of one kind are ordered. */
  readonly dueAt: number;
}

/** How much earlier a group near its data goes than one far from it. */
const DISTANCE_MILLISECONDS = 500;

/** What is begun holds memory until all of it is made. */
const RANKS = {begun: 0, timely: 1, late: 2} as const;

/**
 * Waiting groups in the order in which they are to be made: what is begun, then
 * what can still be in time by priority and target, then the rest by deadline.
 *
 * @param isFar whether the endpoint is far from a group's data
 * @example
 *     rankGroups(waiting, now, {batch: 7, callMilliseconds: 150});
 */
export function rankGroups<Group extends PieceGroup>(
  waiting: Iterable<Group>,
  now: number,
  call: {readonly batch: number; readonly callMilliseconds: number},
  isFar: (group: Group) => boolean = () => false,
): Array<RankedGroup<Group>> {
  const ranked = Array.from(waiting, (group): RankedGroup<Group> => {
    const work = group.workMilliseconds * Math.min(group.count, call.batch);
    const doneAt = now + call.callMilliseconds + work;
    const spareMilliseconds = group.targetAt - doneAt;
    const rank = group.isBegun
      ? 'begun'
      : spareMilliseconds >= 0
        ? 'timely'
        : 'late';
    const distance = isFar(group) ? DISTANCE_MILLISECONDS : 0;
    const dueAt = group.targetAt + distance;
    return {group, rank, slackMilliseconds: spareMilliseconds, dueAt};
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
