import type {decideHedge} from 'hickorywharf-decisions/gateway/decideHedge';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {CallContext} from './callContext.ts';

type Facts = Parameters<typeof decideHedge>[0];

interface WatchOptions {
  readonly context: CallContext;
  /** Where the first attempt is. */
  readonly endpoint: GatewayEndpoint;
  /** What only the call knows. */
  getFacts(): Pick<
    Facts,
    'mayRunAgain' | 'hasFreshKey' | 'isQuarantined' | 'timeLeftMilliseconds'
  >;
  findOther(): GatewayEndpoint | undefined;
  /** Whether the first attempt is still without an answer. */
  isOpen(): boolean;
  /** Called at most once, with the endpoint for the second attempt. */
  onHedge(endpoint: GatewayEndpoint): void;
}

/** Decides on second attempts beside slow ones. */
export interface Hedger {
  /** Records the time of a whole response. */
  recordTime(service: string, endpointId: string, milliseconds: number): void;
  /** Records that an endpoint had not answered after a time. */
  recordSlow(
    service: string,
    endpoint: GatewayEndpoint,
    milliseconds: number,
  ): void;
  /** Watches a first attempt that begins now, until the end. */
  watch(options: WatchOptions): {end(): void};
  /** Discards what was recorded of an endpoint. */
  remove(endpointId: string): void;
}
