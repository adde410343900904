import {ENDPOINT_LIMITS} from '../endpointLimits.ts';
import type {EndpointRows} from '../endpointRows.ts';
import type {EndpointState} from '../endpointState.ts';

/**
 * Keeps a delayed frame of an evicted attempt from starting it again. An action
 * that started keeps its key, by which its outcome may still be found.
 */
function recordEviction(
  state: EndpointState,
  attempt: EndpointRows['attempt'],
  now: number,
): void {
  const {attemptId, frame, ending} = attempt;
  const didNotRun =
    ending?.tag === 'refused' ||
    (ending?.tag === 'failed' && ending.outcome === 'notRun');
  const hasBegun = !frame.idempotent && !didNotRun;
  if (!hasBegun) {
    state.tombstones.insert(attemptId, {attemptId, writtenAt: now});
    return;
  }
  // Every accepted action has a key.
  const idempotencyKey = frame.idempotencyKey ?? '';
  state.begunActions.insert(attemptId, {
    attemptId,
    idempotencyKey,
    writtenAt: now,
  });
}

function evictAttempts(state: EndpointState, now: number): void {
  for (const attempt of state.attempts.rows()) {
    if (attempt.state !== 'finished') continue;
    const isOld = now - attempt.finishedAt > state.retentionMilliseconds;
    const isOverBound = state.retainedBytes > state.retentionBytes;
    if (!isOld && !isOverBound) continue;
    state.retainedBytes -= attempt.bytes;
    state.attempts.remove(attempt.attemptId);
    recordEviction(state, attempt, now);
  }
}

function evictBegunActions(state: EndpointState, now: number): void {
  const limit = ENDPOINT_LIMITS.begunActionMilliseconds;
  for (const {attemptId, writtenAt} of state.begunActions.rows()) {
    // Rows are in order of insertion, so the later ones are not due either.
    if (now - writtenAt < limit) return;
    state.begunActions.remove(attemptId);
  }
}

function evictTombstones(state: EndpointState, now: number): void {
  for (const {attemptId, writtenAt} of state.tombstones.rows()) {
    // Rows are in order of insertion, so the later ones are not due either.
    if (now - writtenAt < ENDPOINT_LIMITS.tombstoneMilliseconds) return;
    state.tombstones.remove(attemptId);
  }
}

function evictActions(state: EndpointState, now: number): void {
  for (const action of state.actions.rows()) {
    if (action.state !== 'finished') continue;
    const isOld = now - action.finishedAt > ENDPOINT_LIMITS.actionMilliseconds;
    const isOverBound = state.actions.size > ENDPOINT_LIMITS.maximumActions;
    // Rows are in order of insertion; later ones wait until this one is due.
    if (!isOld && !isOverBound) return;
    // The watermark rises in the same step, so that the key stays refused. A
    // key without an issue time stays refused by its claim in the store.
    const end = action.issueTime === null ? 0 : action.issueTime + 1;
    state.watermark = Math.max(state.watermark, end);
    state.actions.remove(action.idempotencyKey);
  }
}

/**
 * Evicts outcomes after their retention window, or earlier while the memory of
 * the attempts or the number of actions exceeds its bound. The tombstones, begun
 * actions and watermark that remain keep a delayed frame or an old key from
 * running again.
 *
 * @param now monotonic milliseconds
 * @example
 *     evictOutcomes(state, now);
 */
export function evictOutcomes(state: EndpointState, now: number): void {
  evictAttempts(state, now);
  evictTombstones(state, now);
  evictBegunActions(state, now);
  evictActions(state, now);
}
