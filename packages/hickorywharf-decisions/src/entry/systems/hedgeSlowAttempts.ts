import {cancelAttempt} from '../cancelAttempt.ts';
import {ENTRY_LIMITS} from '../entryLimits.ts';
import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';
import {getCurrentStage} from '../getCurrentStage.ts';
import {ejectEndpoint} from '../load/ejectEndpoint.ts';
import {getPoolLoad} from '../load/getPoolLoad.ts';
import {LOAD_LIMITS} from '../load/loadLimits.ts';
import {scheduleRetry} from '../scheduleRetry.ts';

/** Found slow: ejected, or not yet well since. */
function isSuspect(state: EntryState, endpoint: string): boolean {
  return state.load.latencies.get(endpoint)?.isOnProbation === true;
}

function isLate(
  state: EntryState,
  request: EntryRows['request'],
  attempt: EntryRows['attempt'],
  now: number,
): boolean {
  const key = `${request.pipeline.name}/${request.stageIndex}`;
  const usual = state.estimates.get(key)?.milliseconds;
  if (usual === undefined) return false;
  const factor = isSuspect(state, attempt.endpoint)
    ? LOAD_LIMITS.slowEndpointHedgeFactor
    : LOAD_LIMITS.hedgeFactor;
  const {hedgeMinimumMilliseconds} = LOAD_LIMITS;
  const limit = Math.max(hedgeMinimumMilliseconds, usual * factor);
  return now - attempt.sentAt > limit;
}

function sendElsewhere(
  state: EntryState,
  request: EntryRows['request'],
  attempt: EntryRows['attempt'],
  now: number,
): void {
  const {endpoint} = attempt;
  const speed = state.load.latencies.get(endpoint);
  const failedTrial =
    speed?.isOnProbation === true && speed.ejectedUntil <= now;
  if (failedTrial) ejectEndpoint(state, endpoint, now);
  state.load.hedgeBudget -= 1;
  request.excluded.add(endpoint);
  // Two generations are never spliced, so the first can win no more.
  if (getCurrentStage(request).kind === 'generate') {
    cancelAttempt(state, attempt);
  } else {
    attempt.state = 'superseded';
  }
  scheduleRetry(request, now);
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
    if (state.load.hedgeBudget < 1) return;
    if (request.phase !== 'waiting') continue;
    const {idempotent, pool} = getCurrentStage(request);
    if (!idempotent) continue;
    if (request.attemptsMade >= ENTRY_LIMITS.maximumAttemptsPerStage) continue;
    const attempt = state.attempts.get(request.currentAttemptId ?? '');
    if (attempt === undefined) continue;
    // A generation that the caller has tokens of moves only from a slow engine.
    const mayMove =
      request.tokens.length === 0 || isSuspect(state, attempt.endpoint);
    if (!mayMove || !isLate(state, request, attempt, now)) continue;
    if (isBusy(state, pool)) continue;
    sendElsewhere(state, request, attempt, now);
  }
}
