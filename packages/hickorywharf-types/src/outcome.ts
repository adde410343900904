/**
 * The outcome of a request. Every request ends with one of these.
 *
 * - `answered`: the caller has the whole response.
 * - `notRun`: no stage with side effects ran, or will run, for this request.
 * - `unknown`: an action may have run; only a retry with the same idempotency
 *   key can find out.
 */
export type Outcome = 'answered' | 'notRun' | 'unknown';
