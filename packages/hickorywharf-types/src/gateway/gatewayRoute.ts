import type {GatewayStage} from './gatewayStage.ts';

/** Where calls of one host and path go, and what may be done with them. */
export interface GatewayRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash; the longest that fits wins. */
  readonly prefix: string;
  /** An action runs at most once; a read may be repeated. */
  readonly kind: 'stream' | 'action' | 'read';
  /** The longest time that a caller is kept waiting. */
  readonly timeoutMilliseconds: number;
  /** Within it an answer is worth most. */
  readonly targetMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** The services that may run a call, with their shares. */
  readonly services: ReadonlyArray<{
    readonly service: string;
    readonly weight: number;
  }>;
  /** The most endpoints that may run one call. */
  readonly maximumEndpoints: number;
  readonly stages: readonly GatewayStage[];
  /** Served without a key. */
  readonly isPublic: boolean;
  /** Calls carry a prompt, and caches at endpoints are worth using. */
  readonly isSticky: boolean;
  /** A broken stream may go on at another endpoint. */
  readonly canResume: boolean;
}
