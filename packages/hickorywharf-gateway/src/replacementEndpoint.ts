import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {ReservedConnection} from './reservedConnection.ts';

/** An endpoint for a call whose attempts elsewhere are silent. */
export interface ReplacementEndpoint {
  readonly endpoint: GatewayEndpoint;
  /** An open connection to it. */
  readonly connection: ReservedConnection;
  /** Handles of the results of stages that the call reads there. */
  readonly inputs: readonly string[];
}
