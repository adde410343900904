/** Bandwidth that the work of one core takes, in megabits per second. */
const MEGABITS_PER_CORE = 60;

/**
 * Capacity of an instance for work on behalf of other instances, in cores. A
 * slow link reduces it.
 *
 * @param coreShare cores that the instance may use
 * @param linkMegabits bandwidth of its network link in megabits per second
 * @example
 *     getCapacity(1.35, 7); // about 0.12
 */
export function getCapacity(coreShare: number, linkMegabits: number): number {
  return Math.min(coreShare, linkMegabits / MEGABITS_PER_CORE);
}
