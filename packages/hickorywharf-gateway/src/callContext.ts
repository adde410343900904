import type {GatewayCall} from 'hickorywharf-types/gateway/gatewayCall';
import type {GatewayRoute} from 'hickorywharf-types/gateway/gatewayRoute';
import type {GatewayService} from 'hickorywharf-types/gateway/gatewayService';

/** An admitted request of a caller. Times are monotonic milliseconds. */
export interface CallContext {
  readonly call: GatewayCall;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  readonly route: GatewayRoute;
  readonly service: GatewayService;
  /** Name of the client account; null if the call needs no key. */
  readonly account: string | null;
  /** Version of the configuration that admitted the call. */
  readonly version: number;
  /** Age of that configuration at the admission, in milliseconds. */
  readonly configurationAge: number;
  /** 0 is the most urgent; the account's priority overrides the route's. */
  readonly priority: number;
  /** The call may run more than once. */
  readonly isRetryable: boolean;
  readonly arrivedAt: number;
  /** When the response should have arrived; a soft target. */
  readonly targetAt: number;
  /** When the call times out. */
  readonly deadlineAt: number;
  /** Set when the response is closed, or the call timed out. */
  isEnded: boolean;
  /** Set once the call was sent to an endpoint, which may then have run it. */
  isSent: boolean;
  /** Functions that run when the call ends and release its resources. */
  readonly cleanups: Set<() => void>;
}
