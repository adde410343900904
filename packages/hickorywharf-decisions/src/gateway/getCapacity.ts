/** A link of this many megabits a second goes with one core. */
const MEGABITS_PER_CORE = 60;

/**
 * How much work for others an instance can take, in cores, or less where its
 * link is slow.
 *
 * @example
 *     getCapacity(1.35, 7); // about 0.12
 */
export function getCapacity(coreShare: number, linkMegabits: number): number {
  return Math.min(coreShare, linkMegabits / MEGABITS_PER_CORE);
}
