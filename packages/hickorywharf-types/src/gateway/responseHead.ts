import type {StatedRateLimit} from './statedRateLimit.ts';
import type {StatedRetryAfter} from './statedRetryAfter.ts';

/** The status and headers of an endpoint's response. */
export interface ResponseHead {
  readonly status: number;
  /** Id of the request as the response states it; null if it states none. */
  readonly requestId: string | null;
  /** Whether the response carries the signature of an endpoint. */
  readonly isSigned: boolean;
  /** Whether the response states that the request did not and will not run. */
  readonly isNotRun: boolean;
  /** Whether the body has a content encoding, which no caller requested. */
  readonly isEncoded: boolean;
  /** Whether the body is a stream of server-sent events. */
  readonly isEventStream: boolean;
  /** Whether another endpoint than the one that the request names responded. */
  readonly isMisdirected: boolean;
  /** Whether the endpoint states that it leaves and wants no further requests. */
  readonly isLeaving: boolean;
  /** The rate limit that the endpoint states for calls to it. */
  readonly rateLimit: StatedRateLimit;
  /** For how long the endpoint asks for no further requests. */
  readonly retryAfter: StatedRetryAfter;
  /** Headers to forward to the caller, names and values alternating. */
  readonly headers: readonly string[];
}
