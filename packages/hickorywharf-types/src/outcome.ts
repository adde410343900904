/**
 * What became of a request. There is no fourth outcome.
 *
 * - `answered`: the caller has the whole answer.
 * - `notRun`: no stage with side effects ran, or will run, for this request.
 * - `unknown`: an action may have run; only the idempotency key can tell.
 */
export type Outcome = 'answered' | 'notRun' | 'unknown';
