import type {StageCapacity} from './stageCapacity.ts';

/** A group of interchangeable endpoints. */
export interface GatewayService {
  readonly name: string;
  /** The most connections that one endpoint accepts from all clients. */
  readonly maximumConnections: number;
  /**
   * Bound on the calls to an endpoint that has just started; left out if the
   * service has none.
   */
  readonly coldStart?: {
    /** How long an endpoint is cold after its start. */
    readonly milliseconds: number;
    /** Calls per second of all instances that a cold endpoint can bear. */
    readonly callsPerSecond: number;
  };
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
