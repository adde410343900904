import type {AttemptKey} from 'hickorywharf-types/attemptKey';
import {createRefusal} from '../createRefusal.ts';
import {cancelAttempt} from '../cancelAttempt.ts';
import {endAttempt} from '../endAttempt.ts';
import type {EndpointRows} from '../endpointRows.ts';
import type {EndpointState} from '../endpointState.ts';

function hasJoinedAttempts(
  state: EndpointState,
  attempt: EndpointRows['attempt'],
) {
  // An attempt without a key is idempotent and has no action: '' matches none.
  const action = state.actions.get(attempt.frame.idempotencyKey ?? '');
  return action?.attemptId === attempt.attemptId && action.joined.length > 0;
}

function withdrawQueued(
  state: EndpointState,
  attempt: EndpointRows['attempt'],
  now: number,
): void {
  const {frame} = attempt;
  // The action did not run, so a retry with its key may be accepted.
  if (!frame.idempotent) state.actions.remove(frame.idempotencyKey ?? '');
  endAttempt(state, attempt, createRefusal(frame, 'tombstoned'), now);
}

/**
 * Withdraws an attempt. If its frame has not arrived, a tombstone refuses it
 * when it does. Returns `neverRan` if the attempt has not run and never will, and
 * also for an idempotent attempt whose row was evicted; else `begun`. In the
 * second case a running idempotent attempt is cancelled, and an action goes on,
 * even one that is queued or claiming if other attempts have joined it.
 *
 * @param now monotonic milliseconds
 * @example
 *     withdrawAttempt(state, frame, now); // 'neverRan'
 */
export function withdrawAttempt(
  state: EndpointState,
  key: AttemptKey,
  now: number,
): 'neverRan' | 'begun' {
  const {attemptId} = key;
  const attempt = state.attempts.get(attemptId);
  if (attempt === undefined) {
    if (state.begunActions.has(attemptId)) return 'begun';
    state.tombstones.insert(attemptId, {attemptId, writtenAt: now});
    return 'neverRan';
  }
  const isWaiting = attempt.state === 'queued' || attempt.state === 'claiming';
  if (isWaiting && !hasJoinedAttempts(state, attempt)) {
    withdrawQueued(state, attempt, now);
    return 'neverRan';
  }
  if (attempt.ending?.tag === 'refused') return 'neverRan';
  if (attempt.frame.idempotent) cancelAttempt(state, attempt);
  return 'begun';
}
