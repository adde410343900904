import {createEndpointDirectory} from 'hickorywharf-decisions/gateway/createEndpointDirectory';
import {createEvacuations} from 'hickorywharf-decisions/gateway/createEvacuations';
import {createFreshness} from 'hickorywharf-decisions/gateway/createFreshness';
import {createRouteTable} from 'hickorywharf-decisions/gateway/createRouteTable';
import type {GatewaySettings} from 'hickorywharf-types/gateway/gatewaySettings';
import type {GatewayState} from './gatewayState.ts';

type StateSettings = Pick<
  GatewaySettings,
  | 'name'
  | 'failureDomain'
  | 'capacity'
  | 'lapseMilliseconds'
  | 'evacuateMilliseconds'
>;

/**
 * Creates the state of an instance before its first read of the store: no
 * configuration, no endpoints and no other instances.
 *
 * @example
 *     const state = createGatewayState(settings);
 */
export function createGatewayState(settings: StateSettings): GatewayState {
  const {name, failureDomain, capacity, lapseMilliseconds} = settings;
  return {
    configuration: null,
    newestVersion: -1,
    routes: createRouteTable([]),
    configurationFreshness: createFreshness(),
    endpointFreshness: createFreshness(),
    directory: createEndpointDirectory(lapseMilliseconds),
    evacuations:
      settings.evacuateMilliseconds === undefined ? null : createEvacuations(),
    evacuationFreshness: createFreshness(),
    endpointListeners: new Set(),
    instances: [{name, failureDomain, capacity}],
    isStopping: false,
    isClosed: false,
    stoppedAt: Infinity,
    endsAt: Infinity,
  };
}
