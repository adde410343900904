import {ENDPOINT_LIMITS} from '../endpointLimits.ts';
import type {EndpointState} from '../endpointState.ts';

function forgetAttempts(state: EndpointState, now: number): void {
  for (const attempt of state.attempts.rows()) {
    if (attempt.state !== 'finished') continue;
    const isOld = now - attempt.finishedAt > state.retentionMilliseconds;
    const isOverBound = state.retainedBytes > state.retentionBytes;
    if (!isOld && !isOverBound) continue;
    state.retainedBytes -= attempt.bytes;
    state.attempts.remove(attempt.attemptId);
    // A frame of the attempt that was delayed this long must not begin it.
    const {attemptId} = attempt;
    state.tombstones.insert(attemptId, {attemptId, writtenAt: now});
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
 *     forgetOutcomes(state, now);
 */
export function forgetOutcomes(state: EndpointState, now: number): void {
  forgetAttempts(state, now);
  forgetTombstones(state, now);
  forgetActions(state, now);
}
