import type {StageCapacity} from './stageCapacity.ts';

/** A group of interchangeable endpoints. */
export interface GatewayService {
  readonly name: string;
  /** The most connections that one endpoint accepts from all clients. */
  readonly maximumConnections: number;
  /** Capacity for pieces of a stage; null if the service runs no stage. */
  readonly stage: StageCapacity | null;
  /** Capacity of an endpoint that runs a model; null for other services. */
  readonly engine: {
    /** Calls that an endpoint runs in parallel. */
    readonly slots: number;
    /** The most tokens of running calls and cached prompt parts together. */
    readonly capacityTokens: number;
  } | null;
}
