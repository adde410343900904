import type {GatewayRoute} from 'hickorywharf-types/gateway/gatewayRoute';
import {hashNumber} from 'hickorywharf-utils/hashNumber';

/**
 * The service that runs a call of a route, by the shares of a split.
 *
 * @returns undefined if the route names no service
 * @example
 *     pickService(route, '9c41d07be2a35f68');
 */
export function pickService(
  route: GatewayRoute,
  requestId: string,
): string | undefined {
  const total = route.services.reduce((sum, {weight}) => sum + weight, 0);
  let rest = ((hashNumber(requestId) % 10_000) / 10_000) * total;
  for (const {service, weight} of route.services) {
    rest -= weight;
    if (rest < 0) return service;
  }
  return route.services.at(-1)?.service;
}
