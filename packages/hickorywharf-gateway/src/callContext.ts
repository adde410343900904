import type {GatewayCall} from 'hickorywharf-types/gateway/gatewayCall';
import type {GatewayRoute} from 'hickorywharf-types/gateway/gatewayRoute';
import type {GatewayService} from 'hickorywharf-types/gateway/gatewayService';

/** A caller's request that was admitted. Times are monotonic milliseconds. */
export interface CallContext {
  readonly call: GatewayCall;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  readonly route: GatewayRoute;
  readonly service: GatewayService;
  readonly account: string | null;
  /** 0 is the most urgent; the account's before the route's. */
  readonly priority: number;
  /** The call may run more than once. */
  readonly isRetryable: boolean;
  readonly arrivedAt: number;
  readonly targetAt: number;
  readonly deadlineAt: number;
  /** Set when the caller left or the call was given up. */
  isEnded: boolean;
  /** Runs when the call is over before its answer is. */
  readonly cleanups: Set<() => void>;
}
