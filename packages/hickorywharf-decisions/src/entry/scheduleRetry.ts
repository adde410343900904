import type {EntryRows} from './entryRows.ts';

/**
 * Makes a request's current stage ready to be dispatched again after a pause.
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
