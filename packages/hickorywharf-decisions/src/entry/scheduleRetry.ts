import type {EntryRows} from './entryRows.ts';

/**
 * Makes a request's current stage ready for dispatch again at `readyAt`. It has
 * no current attempt until then.
 *
 * @example
 *     scheduleRetry(request, now + 20);
 */
export function scheduleRetry(
  request: EntryRows['request'],
  readyAt: number,
): void {
  request.phase = 'ready';
  request.readyAt = readyAt;
  request.currentAttemptId = null;
}
