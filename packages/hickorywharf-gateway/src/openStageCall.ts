import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';

/** A call for pieces of stages that has not ended. */
export interface OpenStageCall {
  readonly endpoint: GatewayEndpoint;
  /** Whether it takes far longer than expected. */
  isOverdue: boolean;
}
