import {canGoElsewhere} from '../canGoElsewhere.ts';
import {ENTRY_LIMITS} from '../entryLimits.ts';
import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';
import {getCurrentStage} from '../getCurrentStage.ts';
import {ejectEndpoint} from '../load/ejectEndpoint.ts';
import {getPoolLoad} from '../load/getPoolLoad.ts';
import {LOAD_LIMITS} from '../load/loadLimits.ts';
import {scheduleRetry} from '../scheduleRetry.ts';

/** Whether an endpoint was found slow and has not recovered since. */
function isOnProbation(state: EntryState, endpoint: string): boolean {
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
  const factor = isOnProbation(state, attempt.endpoint)
    ? LOAD_LIMITS.slowEndpointHedgeFactor
    : LOAD_LIMITS.hedgeFactor;
  const {hedgeMinimumMilliseconds} = LOAD_LIMITS;
  const limit = Math.max(hedgeMinimumMilliseconds, usual * factor);
  return now - attempt.sentAt > limit;
}

function sendHedge(
  state: EntryState,
  request: EntryRows['request'],
  attempt: EntryRows['attempt'],
  now: number,
): void {
  const {endpoint} = attempt;
  const latency = state.load.latencies.get(endpoint);
  const hasFailedProbation =
    latency?.isOnProbation === true && latency.ejectedUntil <= now;
  if (hasFailedProbation) ejectEndpoint(state, endpoint, now);
  state.load.hedgeBudget -= 1;
  request.excluded.add(endpoint);
  attempt.state = 'superseded';
  scheduleRetry(request, now);
}

function isBusy(state: EntryState, pool: string): boolean {
  const {attempts, capacity} = getPoolLoad(state, pool);
  return attempts > capacity * LOAD_LIMITS.hedgeMaximumLoad;
}

/**
 * Hedges an idempotent stage that takes much longer than usual: sends it to a
 * second endpoint, if there is one, within the hedge budget and while the pool
 * has capacity. The
 * first complete result is used, and the other attempt is cancelled. The second
 * attempt of a generation continues from the tokens of the first, which is
 * cancelled at the first new token. An endpoint on probation whose ejection has ended is
 * ejected again if its attempt is hedged.
 *
 * @example
 *     hedgeSlowAttempts(state, now);
 *     slowAttempt.state; // 'superseded'
 */
export function hedgeSlowAttempts(state: EntryState, now: number): void {
  if (state.policies.hedging === 'none') return;
  for (const request of state.requests.rows()) {
    if (state.load.hedgeBudget < 1) return;
    if (request.phase !== 'waiting') continue;
    const {idempotent, pool} = getCurrentStage(request);
    if (!idempotent) continue;
    if (request.attemptsMade >= ENTRY_LIMITS.maximumAttemptsPerStage) continue;
    // No attempt has an empty id.
    const attempt = state.attempts.get(request.currentAttemptId ?? '');
    if (attempt === undefined) continue;
    // A generation with tokens is hedged only at an endpoint on probation.
    const mayHedge =
      request.tokens.length === 0 || isOnProbation(state, attempt.endpoint);
    if (!mayHedge || !isLate(state, request, attempt, now)) continue;
    if (isBusy(state, pool)) continue;
    if (!canGoElsewhere(state, request, attempt.endpoint, now)) continue;
    sendHedge(state, request, attempt, now);
  }
}
