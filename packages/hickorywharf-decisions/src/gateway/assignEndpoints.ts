import {hashNumber} from 'hickorywharf-utils/hashNumber';

/**
 * Divides the endpoints of a stage among the instances, so that each endpoint's
 * batches are made at one place. Every instance that knows the same names comes
 * to the same division, and the shares differ by at most one. With fewer
 * endpoints than instances, instances share an endpoint. Two instances that
 * disagree for a moment only make smaller batches.
 *
 * Load pattern: a steady stream of small groups of pieces, of which each
 * instance sees a part.
 *
 * @returns the endpoints that the instance fills
 * @example
 *     assignEndpoints({service: 'scan', endpoints: ['a', 'b'], instances: ['x', 'y'], self: 'x'});
 */
export function assignEndpoints(input: {
  readonly service: string;
  readonly endpoints: readonly string[];
  readonly instances: readonly string[];
  readonly self: string;
}): string[] {
  const {service, endpoints, instances, self} = input;
  const names = new Set(instances).add(self);
  const order = (kind: string, list: Iterable<string>): string[] =>
    Array.from(list, (name) => ({
      name,
      weight: hashNumber(`${service}/${kind}/${name}`),
    }))
      .sort(
        (left, right) =>
          left.weight - right.weight || (left.name < right.name ? -1 : 1),
      )
      .map(({name}) => name);
  const sortedInstances = order('instance', names);
  const sortedEndpoints = order('endpoint', endpoints);
  const position = sortedInstances.indexOf(self);
  if (sortedEndpoints.length === 0) return [];
  if (sortedEndpoints.length < sortedInstances.length) {
    return [sortedEndpoints[position % sortedEndpoints.length]!];
  }
  return sortedEndpoints.filter(
    (_name, index) => index % sortedInstances.length === position,
  );
}
