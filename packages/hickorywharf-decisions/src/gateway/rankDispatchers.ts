import {rankByCapacity} from './rankByCapacity.ts';

/**
 * Ranks the instances that may dispatch the batches of a stage's service: first
 * the dispatcher, then its successors. Instances with more capacity come first;
 * services at different positions of their sorted list start at different
 * instances of that order, so that they are spread. Every instance with the
 * same lists computes the same order; while two instances disagree, the only
 * effect is smaller batches.
 *
 * Designed for a stream of small groups of pieces of which each instance
 * receives a part, and for endpoints whose throughput is much higher with full
 * batches.
 *
 * @param services all services that run stages; a service that is missing ranks
 *     as the first of the sorted list
 * @param instances all instances; `capacity` is in cores
 * @example
 *     const instances = [{name: 'x', capacity: 0.5}];
 *     rankDispatchers('scan', ['scan', 'colour'], instances); // ['x']
 */
export function rankDispatchers(
  service: string,
  services: readonly string[],
  instances: ReadonlyArray<{readonly name: string; readonly capacity: number}>,
): string[] {
  const ordered = rankByCapacity('dispatcher', instances);
  const position = [...services].sort().indexOf(service);
  const first = position < 0 ? 0 : position % Math.max(ordered.length, 1);
  return [...ordered.slice(first), ...ordered.slice(0, first)];
}
