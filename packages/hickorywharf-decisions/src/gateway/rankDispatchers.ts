import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';
import {assignDispatchers} from './assignDispatchers.ts';

interface RankedInstance {
  readonly name: string;
  /** In cores. */
  readonly capacity: number;
}

/**
 * Successors that are ranked by what the services would be assigned to without
 * the instances before them. The others, hardly ever needed, follow in
 * rendezvous order.
 */
const ASSIGNED_SUCCESSORS = 3;

/**
 * Ranks the instances that may dispatch the batches of a stage's service: first
 * the dispatcher, then its successors. A successor is the dispatcher that the
 * service has once the instances before it are off the list, so that those that
 * know of a departure and those whose list still has the instance agree. While
 * two instances disagree, both make smaller batches and fill the memory of the
 * endpoints without knowing of each other.
 *
 * Designed for a stream of small groups of pieces of which each instance
 * receives a part, for endpoints whose throughput is much higher with full
 * batches, and for instances that are replaced one after the other.
 *
 * @param services all services that run stages
 * @param instances all instances
 * @example
 *     const instances = [{name: 'x', capacity: 0.5}];
 *     rankDispatchers('scan', ['scan', 'colour'], instances); // ['x']
 */
export function rankDispatchers(
  service: string,
  services: readonly string[],
  instances: readonly RankedInstance[],
): string[] {
  const assigned = services.includes(service)
    ? services
    : [...services, service];
  const ranking: string[] = [];
  let remaining = instances;
  while (remaining.length > 0 && ranking.length <= ASSIGNED_SUCCESSORS) {
    const next = assignDispatchers(assigned, remaining).get(service)!;
    ranking.push(next);
    remaining = remaining.filter(({name}) => name !== next);
  }
  const rest = remaining.map(({name}) => name);
  return [...ranking, ...orderByRendezvous(service, rest)];
}
