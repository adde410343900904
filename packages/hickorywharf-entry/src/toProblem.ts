import type {ServeError} from 'hickorywharf-types/serveError';

/** A problem document (RFC 9457) with the fields of this system. */
interface Problem {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
  readonly headers: Readonly<Record<string, string>>;
}

interface ProblemKind {
  readonly status: number;
  readonly title: string;
  readonly retryable: boolean;
}

const KINDS: Record<ServeError['tag'], ProblemKind> = {
  invalidRequest: {status: 400, title: 'Invalid request', retryable: false},
  bodyTooLarge: {status: 413, title: 'Body too large', retryable: false},
  unsupportedMediaType: {
    status: 415,
    title: 'Unsupported media type',
    retryable: false,
  },
  unauthenticated: {status: 401, title: 'Unauthenticated', retryable: false},
  unknownPipeline: {status: 404, title: 'Unknown pipeline', retryable: false},
  notReady: {status: 503, title: 'Not ready', retryable: true},
  overloaded: {status: 503, title: 'Overloaded', retryable: true},
  noEndpoint: {status: 503, title: 'No endpoint', retryable: true},
  refused: {status: 503, title: 'Refused', retryable: true},
  keyConflict: {
    status: 409,
    title: 'Idempotency key conflict',
    retryable: false,
  },
  deadlineExceeded: {status: 504, title: 'Deadline exceeded', retryable: true},
  peerLost: {status: 502, title: 'Endpoint lost', retryable: true},
  backendFailed: {status: 502, title: 'Backend failed', retryable: true},
  callerGone: {status: 499, title: 'Caller gone', retryable: true},
  unknownPath: {status: 404, title: 'Unknown path', retryable: false},
  internalError: {status: 500, title: 'Internal error', retryable: true},
};

const UNKNOWN_STATUS = 502;
const UNAVAILABLE_STATUS = 503;
const RETRY_AFTER_SECONDS = '1';

function getStatus(error: ServeError): number {
  const {status} = KINDS[error.tag];
  // 503 guarantees that nothing ran; without that guarantee it is 502.
  const isUncertain =
    status === UNAVAILABLE_STATUS && error.outcome !== 'notRun';
  return isUncertain ? UNKNOWN_STATUS : status;
}

/**
 * Converts an error to its HTTP status, headers and problem document.
 *
 * @example
 *     toProblem(error, 'r-1').status; // 503 only where the outcome is notRun
 */
export function toProblem(error: ServeError, requestId: string): Problem {
  const {tag, step, peer, outcome, message, ...details} = error;
  const {title, retryable} = KINDS[tag];
  const status = getStatus(error);
  const retryAfter =
    'retryAfterSeconds' in error
      ? String(error.retryAfterSeconds)
      : RETRY_AFTER_SECONDS;
  return {
    status,
    headers: {
      'content-type': 'application/problem+json',
      ...(status === UNAVAILABLE_STATUS ? {'retry-after': retryAfter} : {}),
    },
    body: {
      type: `urn:hickorywharf:problem:${tag}`,
      title,
      status,
      detail: message,
      outcome,
      step,
      peer,
      retryable,
      requestId,
      ...details,
    },
  };
}
