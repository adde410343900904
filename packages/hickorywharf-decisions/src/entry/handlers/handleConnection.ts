import {finishRequest} from '../finishRequest.ts';
import {ENTRY_LIMITS} from '../entryLimits.ts';
import {getCurrentStage} from '../getCurrentStage.ts';
import {removeAttempt} from '../removeAttempt.ts';
import {scheduleRetry} from '../scheduleRetry.ts';
import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';

function recoverAttempt(
  state: EntryState,
  attempt: EntryRows['attempt'],
): void {
  const {requestId, stageIndex, attemptId, nextPosition} = attempt;
  const request = state.requests.get(requestId);
  // A tombstone may have been lost with the connection: it is sent again.
  if (request !== undefined) request.tombstoneSent = false;
  state.commands.push({
    tag: 'send',
    endpoint: attempt.endpoint,
    frame: {
      tag: 'recover',
      requestId,
      stageIndex,
      attemptId,
      fromPosition: nextPosition,
    },
  });
}

function abandonAttempt(
  state: EntryState,
  attempt: EntryRows['attempt'],
  now: number,
): void {
  removeAttempt(state, attempt);
  const request = state.requests.get(attempt.requestId);
  if (request?.currentAttemptId !== attempt.attemptId) return;
  if (getCurrentStage(request).idempotent) {
    request.excluded.add(attempt.endpoint);
    scheduleRetry(request, now + ENTRY_LIMITS.retryPauseMilliseconds);
    return;
  }
  finishRequest(state, request, {
    tag: 'peerLost',
    step: 'execute',
    peer: attempt.endpoint,
    outcome: 'unknown',
    message: 'The endpoint process was replaced while it had the action.',
  });
}

/**
 * Handles the connection and disconnection of an endpoint process. A lost
 * connection loses no result: after a reconnection, the same incarnation is
 * requested to send what it has of each attempt. Attempts at an earlier
 * incarnation are retried; for an action, the request fails with the outcome
 * `unknown`.
 *
 * @example
 *     handleConnection.endpointDisconnected(state, 'desk-1', now);
 *     state.endpoints.get('desk-1')?.connected; // false
 */
export const handleConnection = {
  endpointConnected(
    state: EntryState,
    name: string,
    incarnation: string,
    now: number,
  ): void {
    const endpoint = state.endpoints.get(name);
    if (endpoint === undefined) return;
    const isReplaced =
      endpoint.incarnation !== '' && endpoint.incarnation !== incarnation;
    if (isReplaced) endpoint.leaving = false;
    endpoint.connected = true;
    endpoint.incarnation = incarnation;
    endpoint.lastSeenAt = now;
    for (const attempt of [...state.attempts.rows()]) {
      if (attempt.endpoint !== name) continue;
      const isSameIncarnation = attempt.endpointIncarnation === incarnation;
      if (isSameIncarnation) recoverAttempt(state, attempt);
      else abandonAttempt(state, attempt, now);
    }
  },

  endpointDisconnected(state: EntryState, name: string, now: number): void {
    const endpoint = state.endpoints.get(name);
    if (endpoint === undefined) return;
    endpoint.connected = false;
    endpoint.lastSeenAt = now;
  },
};
