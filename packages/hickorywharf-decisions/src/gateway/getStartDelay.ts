/** One stage of a call and its progress. */
interface StageProgress {
  /** Positions of the stages that it reads; all before its own. */
  readonly after: readonly number[];
  /** Expected time from its order to its end. */
  readonly milliseconds: number;
  /** Time since its order; null before it, Infinity once it has ended. */
  readonly orderedMilliseconds: number | null;
}

/** Shortens each delay, as stages may take longer than expected. */
const MARGIN_MILLISECONDS = 60;

/**
 * How long the start of a stage can be delayed without making the call later,
 * in milliseconds.
 *
 * Load pattern: calls with a stage of large results parallel to a chain of
 * several stages. Started at once, the large results occupy the memory of their
 * endpoint until the chain ends, and the endpoint cannot store results of other
 * calls. Started so that both end together, they occupy it for a fraction of
 * that time.
 *
 * @param stages all stages of the call; a stage that it skips counts as ended
 * @param position position of the stage to delay
 * @example
 *     getStartDelay([large, first, second], 0);
 */
export function getStartDelay(
  stages: readonly StageProgress[],
  position: number,
): number {
  const ends: number[] = [];
  const isDependent: boolean[] = [];
  let dependentEnd = 0;
  let othersEnd = 0;
  stages.forEach(({after, milliseconds, orderedMilliseconds}, index) => {
    const start = Math.max(0, ...after.map((earlier) => ends[earlier] ?? 0));
    const end =
      orderedMilliseconds === null
        ? start + milliseconds
        : Math.max(0, milliseconds - orderedMilliseconds);
    ends.push(end);
    const isDelayed =
      index === position || after.some((earlier) => isDependent[earlier]);
    isDependent.push(isDelayed);
    if (isDelayed) dependentEnd = Math.max(dependentEnd, end);
    else othersEnd = Math.max(othersEnd, end);
  });
  return Math.max(0, othersEnd - dependentEnd - MARGIN_MILLISECONDS);
}
