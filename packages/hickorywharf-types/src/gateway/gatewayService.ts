import type {StageCapacity} from './stageCapacity.ts';

/** A group of endpoints that do the same work. */
export interface GatewayService {
  readonly name: string;
  /** The most connections that an endpoint takes from all callers together. */
  readonly maximumConnections: number;
  /** What an endpoint can do with pieces of a stage; null where it has none. */
  readonly stage: StageCapacity | null;
  /** What a model endpoint can hold; null for other services. */
  readonly engine: {
    readonly slots: number;
    /** Tokens of running calls and cached parts together. */
    readonly capacityTokens: number;
  } | null;
}
