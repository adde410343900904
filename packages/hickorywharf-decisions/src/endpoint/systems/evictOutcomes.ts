import {ENDPOINT_LIMITS} from '../endpointLimits.ts';
import type {EndpointRows} from '../endpointRows.ts';
import type {EndpointState} from '../endpointState.ts';

/** What is left of an attempt: a delayed frame of it must not begin it. */
function leaveTrace(
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
  const idempotencyKey = frame.idempotencyKey ?? '';
  state.begunActions.insert(attemptId, {
    attemptId,
    idempotencyKey,
    writtenAt: now,
  });
}

function forgetAttempts(state: EndpointState, now: number): void {
  for (const attempt of state.attempts.rows()) {
    if (attempt.state !== 'finished') continue;
    const isOld = now - attempt.finishedAt > state.retentionMilliseconds;
    const isOverBound = state.retainedBytes > state.retentionBytes;
    if (!isOld && !isOverBound) continue;
    state.retainedBytes -= attempt.bytes;
    state.attempts.remove(attempt.attemptId);
    leaveTrace(state, attempt, now);
  }
}

function forgetBegunActions(state: EndpointState, now: number): void {
  const limit = ENDPOINT_LIMITS.begunActionMilliseconds;
  for (const {attemptId, writtenAt} of state.begunActions.rows()) {
    if (now - writtenAt < limit) return;
    state.begunActions.remove(attemptId);
  }
}

function forgetTombstones(state: EndpointState, now: number): void {
  for (const {attemptId, writtenAt} of state.tombstones.rows()) {
    if (now - writtenAt < ENDPOINT_LIMITS.tombstoneMilliseconds) return;
    state.tombstones.remove(attemptId);
  }
}

function forgetActions(state: EndpointState, now: number): void {
  for (const action of state.actions.rows()) {
    if (action.state !== 'finished') continue;
    const isOld = now - action.finishedAt > ENDPOINT_LIMITS.actionMilliseconds;
    const isOverBound = state.actions.size > ENDPOINT_LIMITS.maximumActions;
    if (!isOld && !isOverBound) return;
    // The key and the watermark change together, so that it stays refused. A
    // key without an issue time stays refused by its claim in the store.
    const end = action.issueTime === null ? 0 : action.issueTime + 1;
    state.watermark = Math.max(state.watermark, end);
    state.actions.remove(action.idempotencyKey);
  }
}

/**
 * Forgets outcomes after the retention window or over the memory bound, and
 * never in a way that would let a delayed frame or an old key run again.
 *
 * @example
 *     evictOutcomes(state, now);
 */
export function evictOutcomes(state: EndpointState, now: number): void {
  forgetAttempts(state, now);
  forgetTombstones(state, now);
  forgetBegunActions(state, now);
  forgetActions(state, now);
}
