import type {PieceGroup} from './pieceGroup.ts';

interface RankedGroup<Group> {
  readonly group: Group;
  readonly rank: keyof typeof RANKS;
  /** Time to spare until the target if it went into a call now. */
  readonly spareMilliseconds: number;
}

/** What is begun holds memory until all of it is made. */
const RANKS = {begun: 0, timely: 1, late: 2} as const;

/**
 * Waiting groups in the order in which they are to be made: what is begun, then
 * what can still be in time by priority and target, then the rest by deadline.
 *
 * @example
 *     rankGroups(waiting, now, {batch: 7, callMilliseconds: 150});
 */
export function rankGroups<Group extends PieceGroup>(
  waiting: Iterable<Group>,
  now: number,
  call: {readonly batch: number; readonly callMilliseconds: number},
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
    return {group, rank, spareMilliseconds};
  });
  return ranked.sort(
    (left, right) =>
      RANKS[left.rank] - RANKS[right.rank] ||
      (left.rank === 'late'
        ? left.group.deadlineAt - right.group.deadlineAt
        : left.group.priority - right.group.priority ||
          left.group.targetAt - right.group.targetAt),
  );
}
