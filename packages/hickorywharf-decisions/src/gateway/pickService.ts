import type {GatewayRoute} from 'hickorywharf-types/gateway/gatewayRoute';
import {hashNumber} from 'hickorywharf-utils/hashNumber';

/**
 * Picks the service that runs a call, by the weights of its route. With the
 * same weights, a request id always gets the same service.
 *
 * @returns the last service if all weights are 0; undefined if the route has no
 *     service
 * @example
 *     pickService(route, '9c41d07be2a35f68'); // 'desk'
 */
export function pickService(
  route: GatewayRoute,
  requestId: string,
): string | undefined {
  const total = route.services.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = ((hashNumber(requestId) % 10_000) / 10_000) * total;
  for (const {service, weight} of route.services) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.services.at(-1)?.service;
}
