import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';

/** Instances whose capacity differs by less are alike, in cores. */
const CAPACITY_STEP = 0.25;

/**
 * The instances that may make the batches of a stage's service, the first one
 * in charge and the others its successors. Services are spread over the
 * instances; every instance that knows the same names comes to the same order.
 * Instances with more capacity go first.
 * Two instances that disagree for a moment only make smaller batches.
 *
 * Load pattern: a stream of small groups of pieces of which each instance sees
 * a part, at endpoints that do much more with full calls.
 *
 * @param services all services with stages, this one among them
 * @example
 *     const [inCharge] = rankDispatchers('scan', services, [{name: 'x', capacity: 0.5}]);
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
