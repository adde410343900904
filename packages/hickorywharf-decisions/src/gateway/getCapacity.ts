/** Link bandwidth that work on one core takes, in megabits a second. */
const MEGABITS_PER_CORE = 60;

/**
 * Capacity of an instance for work on behalf of other instances, in cores. A
 * slow link reduces it.
 *
 * @example
 *     getCapacity(1.35, 7); // about 0.12
 */
export function getCapacity(coreShare: number, linkMegabits: number): number {
  return Math.min(coreShare, linkMegabits / MEGABITS_PER_CORE);
}
