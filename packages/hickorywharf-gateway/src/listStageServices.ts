import type {GatewayState} from './gatewayState.ts';

/**
 * The names of the services that run stages in the active configuration.
 *
 * @example
 *     listStageServices(state); // ['scan']
 */
export function listStageServices(
  state: Pick<GatewayState, 'configuration'>,
): string[] {
  return [...(state.configuration?.services.values() ?? [])]
    .filter(({stage}) => stage !== null)
    .map(({name}) => name);
}
