/** One stage of a call, as far as it has come. */
interface StageProgress {
  /** Positions of the stages that it reads; all before its own. */
  readonly after: readonly number[];
  /** Expected time from its order to its end. */
  readonly milliseconds: number;
  /** How long ago it was ordered; null before, Infinity when it is made. */
  readonly orderedMilliseconds: number | null;
}

/** Begun this much earlier, as stages may take longer than expected. */
const MARGIN_MILLISECONDS = 60;

/**
 * How long a stage may be put off without being the last one to end, in
 * milliseconds.
 *
 * Load pattern: calls with a stage of large results beside a chain of several
 * stages. Begun at once, the large results wait for the chain, and their maker
 * has no room for others; begun so that both end together, they hold it for a
 * fraction of the time.
 *
 * @param stages all stages of the call, those that it leaves out as made
 * @example
 *     getStartDelay([large, first, second], 0);
 */
export function getStartDelay(
  stages: readonly StageProgress[],
  position: number,
): number {
  const ends: number[] = [];
  const descends: boolean[] = [];
  let ownEnd = 0;
  let othersEnd = 0;
  stages.forEach(({after, milliseconds, orderedMilliseconds}, index) => {
    const begin = Math.max(0, ...after.map((earlier) => ends[earlier] ?? 0));
    const end =
      orderedMilliseconds === null
        ? begin + milliseconds
        : Math.max(0, milliseconds - orderedMilliseconds);
    ends.push(end);
    const isOwn =
      index === position || after.some((earlier) => descends[earlier]);
    descends.push(isOwn);
    if (isOwn) ownEnd = Math.max(ownEnd, end);
    else othersEnd = Math.max(othersEnd, end);
  });
  return Math.max(0, othersEnd - ownEnd - MARGIN_MILLISECONDS);
}
