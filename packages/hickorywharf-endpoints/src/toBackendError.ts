import type {BackendError} from './backendError.ts';

/** Failures after which no byte of the call can have reached the backend. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Converts the error of a failed call to a backend. The outcome is `notRun`
 * only where no connection was established; after any other failure the
 * backend may have run the attempt.
 *
 * @example
 *     toBackendError(error, 'http://127.0.0.1:9000');
 */
export function toBackendError(error: unknown, peer: string): BackendError {
  const {name, code = '', message} = error as Error & {code?: string};
  if (name === 'AbortError') {
    return {
      tag: 'cancelled',
      step: 'execute',
      peer,
      outcome: 'unknown',
      message,
    };
  }
  const isUnsent = UNSENT_CODES.has(code);
  return {
    tag: isUnsent ? 'unreachable' : 'broken',
    step: 'execute',
    peer,
    outcome: isUnsent ? 'notRun' : 'unknown',
    message,
  };
}
