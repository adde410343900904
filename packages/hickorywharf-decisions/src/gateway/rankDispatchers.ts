import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';

/** Smaller differences of capacity do not affect the order, in cores. */
const CAPACITY_STEP = 0.25;

/**
 * Ranks the instances that may dispatch the batches of a stage's service: first
 * the current dispatcher, then its successors. Instances with more capacity go
 * first, and services are spread over the instances. Every instance that has
 * the same list computes the same order; while two instances disagree, the only
 * effect is smaller batches.
 *
 * Load pattern: a stream of small groups of pieces of which each instance
 * receives a part, at endpoints whose throughput is much higher with full
 * batches.
 *
 * @param services all services with stages, this one among them
 * @example
 *     const instances = [{name: 'x', capacity: 0.5}];
 *     const [dispatcher] = rankDispatchers('scan', services, instances);
 */
export function rankDispatchers(
  service: string,
  services: readonly string[],
  instances: ReadonlyArray<{readonly name: string; readonly capacity: number}>,
): string[] {
  const classes = new Map(
    instances.map(({name, capacity}) => [
      name,
      Math.floor(capacity / CAPACITY_STEP),
    ]),
  );
  const ordered = orderByRendezvous('dispatcher', classes.keys()).sort(
    (left, right) => classes.get(right)! - classes.get(left)!,
  );
  const position = [...services].sort().indexOf(service);
  const first = position < 0 ? 0 : position % Math.max(ordered.length, 1);
  return [...ordered.slice(first), ...ordered.slice(0, first)];
}
