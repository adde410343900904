import type {GatewayStage} from './gatewayStage.ts';

/** The services that run calls of one host and path, and how. */
export interface GatewayRoute {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash; the longest matching prefix applies. */
  readonly prefix: string;
  /**
   * An action runs at most once. A read may be retried, and so may a stream if
   * `canResume` is true.
   */
  readonly kind: 'stream' | 'action' | 'read';
  /** The longest time that a call may take. */
  readonly timeoutMilliseconds: number;
  /** Latency target: the time within which the response should start. */
  readonly targetMilliseconds: number;
  /**
   * The longest pause between the events of a stream that is on time; left out
   * if the route states none.
   */
  readonly gapTargetMilliseconds?: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** The services that may run a call; weights are relative. */
  readonly services: ReadonlyArray<{
    readonly service: string;
    readonly weight: number;
  }>;
  /**
   * The most endpoints that may run one call. An endpoint that states that it
   * did not run the call is not counted.
   */
  readonly maximumEndpoints: number;
  readonly stages: readonly GatewayStage[];
  /** Whether calls need no key. */
  readonly isPublic: boolean;
  /** Whether calls carry prompts and benefit from the caches of endpoints. */
  readonly isSticky: boolean;
  /** Whether a broken stream may continue at another endpoint. */
  readonly canResume: boolean;
}
