import type {GatewayCall} from 'hickorywharf-types/gateway/gatewayCall';
import type {GatewayRoute} from 'hickorywharf-types/gateway/gatewayRoute';
import type {GatewayService} from 'hickorywharf-types/gateway/gatewayService';

/** What a call waits for before it can be sent. */
interface CallWait {
  readonly reason: 'body' | 'stages' | 'limit';
  /** Monotonic milliseconds. */
  readonly startedAt: number;
  /** Forecast of the wait when it began. */
  readonly expectedMilliseconds: number;
}

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
  /**
   * When the caller has left unless the first event of the stream has come, the
   * call's timeout at the latest.
   */
  readonly firstEventDeadlineAt: number;
  /** Set when the response is closed, or the call timed out. */
  isEnded: boolean;
  /** Whether an endpoint may have run the call, or may be running it. */
  isSent: boolean;
  /** What the call waits for; null if it was sent, or can be. */
  wait: CallWait | null;
  /** Functions that run when the call ends and release its resources. */
  readonly cleanups: Set<() => void>;
}
