import type {StageCapacity} from './stageCapacity.ts';

/** A group of interchangeable endpoints. */
export interface GatewayService {
  readonly name: string;
  /** The most connections an endpoint accepts from all clients together. */
  readonly maximumConnections: number;
  /** Capacity for pieces of a stage; null if the service runs no stage. */
  readonly stage: StageCapacity | null;
  /** Capacity of an endpoint that runs a model; null for other services. */
  readonly engine: {
    readonly slots: number;
    /** Tokens of running calls and cached prompt parts together. */
    readonly capacityTokens: number;
  } | null;
}
