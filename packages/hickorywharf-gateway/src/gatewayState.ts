import type {createEndpointDirectory} from 'hickorywharf-decisions/gateway/createEndpointDirectory';
import type {createFreshness} from 'hickorywharf-decisions/gateway/createFreshness';
import type {createRouteTable} from 'hickorywharf-decisions/gateway/createRouteTable';
import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {GatewayInstance} from 'hickorywharf-types/gateway/gatewayInstance';

/** What an instance believes about the world. */
export interface GatewayState {
  configuration: GatewayConfiguration | null;
  routes: ReturnType<typeof createRouteTable>;
  /** When the store last confirmed the configuration. */
  readonly configurationFreshness: ReturnType<typeof createFreshness>;
  readonly endpointFreshness: ReturnType<typeof createFreshness>;
  readonly directory: ReturnType<typeof createEndpointDirectory>;
  /** The instances, this one among them. */
  instances: ReadonlyArray<Omit<GatewayInstance, 'host' | 'port'>>;
  isStopping: boolean;
  /** A planned stop takes no more work. */
  isClosed: boolean;
}
