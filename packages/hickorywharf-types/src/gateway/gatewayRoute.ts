import type {GatewayStage} from './gatewayStage.ts';

/** The services that run calls of one host and path, and how. */
export interface GatewayRoute {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash; the longest prefix that matches wins. */
  readonly prefix: string;
  /** An action runs at most once; a read may be retried. */
  readonly kind: 'stream' | 'action' | 'read';
  /** The longest time that a caller waits. */
  readonly timeoutMilliseconds: number;
  /** Latency target: the time within which the response should start. */
  readonly targetMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** The services that may run a call; weights are relative. */
  readonly services: ReadonlyArray<{
    readonly service: string;
    readonly weight: number;
  }>;
  /** The most endpoints that one call may be sent to. */
  readonly maximumEndpoints: number;
  readonly stages: readonly GatewayStage[];
  /** Whether calls need no key. */
  readonly isPublic: boolean;
  /** Whether calls carry prompts and benefit from the caches of endpoints. */
  readonly isSticky: boolean;
  /** Whether a broken stream may continue at another endpoint. */
  readonly canResume: boolean;
}
