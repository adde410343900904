import {hashNumber} from 'hickorywharf-utils/hashNumber';
import {getCapacityClass} from './getCapacityClass.ts';

/**
 * Assigns each service an instance that dispatches its batches: instances with
 * more capacity first, and none twice while others have no service. Of equals,
 * the pair of service and instance with the highest hash is assigned first, so
 * that an instance that comes or goes hardly ever moves a service of another.
 * Every process with the same lists gets the same assignment.
 *
 * @param instances `capacity` is in cores; not empty
 * @example
 *     assignDispatchers(['scan'], [{name: 'x', capacity: 1}]); // scan -> x
 */
export function assignDispatchers(
  services: readonly string[],
  instances: ReadonlyArray<{readonly name: string; readonly capacity: number}>,
): Map<string, string> {
  const pairs = services
    .flatMap((service) =>
      instances.map(({name, capacity}) => ({
        service,
        name,
        capacityClass: getCapacityClass(capacity),
        weight: hashNumber(`${service}/${name}`),
      })),
    )
    .sort(
      (left, right) =>
        right.capacityClass - left.capacityClass ||
        right.weight - left.weight ||
        (`${left.service}/${left.name}` < `${right.service}/${right.name}`
          ? -1
          : 1),
    );
  const assignment = new Map<string, string>();
  const names = new Set(instances.map(({name}) => name));
  while (assignment.size < new Set(services).size) {
    // With more services than instances, each gets another one in turn.
    const unused = new Set(names);
    for (const {service, name} of pairs) {
      if (assignment.has(service) || !unused.delete(name)) continue;
      assignment.set(service, name);
    }
  }
  return assignment;
}
