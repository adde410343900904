/**
 * Capacities are rounded down to multiples of this, so that small differences
 * hardly affect the order of instances.
 */
const CAPACITY_STEP_CORES = 0.25;

/**
 * The class of an instance by its capacity; the higher, the more capacity.
 *
 * @param capacity in cores, as `getCapacity` returns it
 * @example
 *     getCapacityClass(0.513); // 2
 */
export function getCapacityClass(capacity: number): number {
  return Math.floor(capacity / CAPACITY_STEP_CORES);
}
