import type {createEndpointDirectory} from 'hickorywharf-decisions/gateway/createEndpointDirectory';
import type {createEvacuations} from 'hickorywharf-decisions/gateway/createEvacuations';
import type {createFreshness} from 'hickorywharf-decisions/gateway/createFreshness';
import type {createRouteTable} from 'hickorywharf-decisions/gateway/createRouteTable';
import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {GatewayInstance} from 'hickorywharf-types/gateway/gatewayInstance';

/** The cached state of an instance: configuration, endpoints and instances. */
export interface GatewayState {
  /** Null until the first configuration was read. */
  configuration: GatewayConfiguration | null;
  /**
   * Newest version that this instance or a peer has, or that the store began to
   * send; -1 for none.
   */
  newestVersion: number;
  routes: ReturnType<typeof createRouteTable>;
  /** When the store last confirmed the configuration. */
  readonly configurationFreshness: ReturnType<typeof createFreshness>;
  /** When the store last confirmed the list of endpoints. */
  readonly endpointFreshness: ReturnType<typeof createFreshness>;
  readonly directory: ReturnType<typeof createEndpointDirectory>;
  /** Null where the settings know of no evacuations. */
  readonly evacuations: ReturnType<typeof createEvacuations> | null;
  /** When the store last confirmed the orders to evacuate. */
  readonly evacuationFreshness: ReturnType<typeof createFreshness>;
  /** Called after each change of the endpoints that may get work. */
  readonly endpointListeners: Set<() => void>;
  /** All known instances, including this one. */
  instances: ReadonlyArray<Omit<GatewayInstance, 'host' | 'port'>>;
  /** Set when a planned stop starts; requests are still served. */
  isStopping: boolean;
  /** Set later in a planned stop, when new requests are refused. */
  isClosed: boolean;
  /** When a planned stop began, monotonic; Infinity without a stop. */
  stoppedAt: number;
  /** When a planned stop ends the calls, monotonic; Infinity without a stop. */
  endsAt: number;
}
