import {canGoElsewhere} from '../canGoElsewhere.ts';
import {ENTRY_LIMITS} from '../entryLimits.ts';
import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';
import {getCurrentStage} from '../getCurrentStage.ts';
import {scheduleRetry} from '../scheduleRetry.ts';

function isLost(endpoint: EntryRows['endpoint'], now: number): boolean {
  const silence = now - endpoint.lastSeenAt;
  const limit = endpoint.connected
    ? ENTRY_LIMITS.silenceTimeoutMilliseconds
    : ENTRY_LIMITS.reconnectTimeoutMilliseconds;
  return silence > limit;
}

/**
 * Retries idempotent stages whose endpoint was removed, has not reconnected in
 * time or has sent no frame for the silence timeout, within the retry budget and
 * only while another endpoint can take the stage: a silent endpoint may go on.
 * The old attempt is kept, so that its result is used if it arrives first. Two
 * generations are never mixed: the old attempt of one is resumed if the new one
 * ends without a token, and cancelled at its first token.
 *
 * @example
 *     supersedeLostAttempts(state, now);
 *     lostAttempt.state; // 'superseded'
 */
export function supersedeLostAttempts(state: EntryState, now: number): void {
  for (const attempt of [...state.attempts.rows()]) {
    if (attempt.state !== 'sent') continue;
    const request = state.requests.get(attempt.requestId);
    if (request?.currentAttemptId !== attempt.attemptId) continue;
    if (!getCurrentStage(request).idempotent) continue;
    const endpoint = state.endpoints.get(attempt.endpoint);
    if (endpoint !== undefined && !isLost(endpoint, now)) continue;
    if (state.retryBudget < 1) continue;
    if (!canGoElsewhere(state, request, attempt.endpoint, now)) continue;
    state.retryBudget -= 1;
    attempt.state = 'superseded';
    request.excluded.add(attempt.endpoint);
    scheduleRetry(request, now);
  }
}
