/** One stage of a call and its progress. */
interface StageProgress {
  /** Positions of the stages whose results it reads; all precede its own. */
  readonly after: readonly number[];
  /** Expected time from the order of the stage's pieces to the stage's end. */
  readonly milliseconds: number;
  /** Time since the order; null before the order, Infinity after its end. */
  readonly orderedMilliseconds: number | null;
}

/** Subtracted from each delay, as stages may take longer than expected. */
const DELAY_MARGIN_MILLISECONDS = 60;

/**
 * How long the start of a stage can be delayed, in milliseconds, without
 * delaying the expected end of the last stage of the call.
 *
 * Designed for calls with a stage of large results parallel to a chain of
 * several stages. If the stage starts at once, its results occupy the memory of
 * their endpoint until the chain ends, and the endpoint cannot store results of
 * other calls. If it starts so that both end together, its results occupy the
 * memory for a fraction of that time.
 *
 * @param stages all stages of the call; a stage that it skips counts as ended
 * @param position position of the stage to delay
 * @example
 *     const stage = {after: [], milliseconds: 300, orderedMilliseconds: null};
 *     getStartDelay([stage, {...stage, milliseconds: 700}], 0); // 340
 */
export function getStartDelay(
  stages: readonly StageProgress[],
  position: number,
): number {
  /** Expected end of each stage, in milliseconds from now. */
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
  return Math.max(0, othersEnd - dependentEnd - DELAY_MARGIN_MILLISECONDS);
}
