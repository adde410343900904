import {ENTRY_LIMITS} from '../entryLimits.ts';
import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';
import {getCurrentStage} from '../getCurrentStage.ts';
import {getPoolLoad} from '../load/getPoolLoad.ts';
import {LOAD_LIMITS} from '../load/loadLimits.ts';
import {scheduleRetry} from '../scheduleRetry.ts';

function isLate(
  state: EntryState,
  request: EntryRows['request'],
  attempt: EntryRows['attempt'],
  now: number,
): boolean {
  const key = `${request.pipeline.name}/${request.stageIndex}`;
  const usual = state.estimates.get(key)?.milliseconds;
  if (usual === undefined) return false;
  const {hedgeFactor, hedgeMinimumMilliseconds} = LOAD_LIMITS;
  const limit = Math.max(hedgeMinimumMilliseconds, usual * hedgeFactor);
  return now - attempt.sentAt > limit;
}

function isBusy(state: EntryState, pool: string): boolean {
  const {attempts, capacity} = getPoolLoad(state, pool);
  return attempts > capacity * LOAD_LIMITS.hedgeMaximumLoad;
}

/**
 * Sends an idempotent stage that takes much longer than usual to a second
 * endpoint, within a budget and while the pool has room. Whichever whole result
 * comes first is taken, and the other attempt is cancelled.
 *
 * @example
 *     hedgeSlowAttempts(state, now);
 */
export function hedgeSlowAttempts(state: EntryState, now: number): void {
  if (state.policies.hedging === 'none') return;
  for (const request of state.requests.rows()) {
    if (state.load.hedgeTokens < 1) return;
    if (request.phase !== 'waiting') continue;
    const {idempotent, pool} = getCurrentStage(request);
    // A generation that the caller has tokens of goes on where it is.
    if (!idempotent || request.tokens.length > 0) continue;
    if (request.attemptsMade >= ENTRY_LIMITS.maximumAttemptsPerStage) continue;
    const attempt = state.attempts.get(request.currentAttemptId ?? '');
    if (attempt === undefined || !isLate(state, request, attempt, now)) {
      continue;
    }
    if (isBusy(state, pool)) continue;
    state.load.hedgeTokens -= 1;
    attempt.state = 'superseded';
    request.excluded.add(attempt.endpoint);
    scheduleRetry(request, now);
  }
}
