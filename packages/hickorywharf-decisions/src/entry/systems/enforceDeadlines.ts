import {ENTRY_LIMITS} from '../entryLimits.ts';
import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';
import {finishRequest} from '../finishRequest.ts';
import {getCurrentStage} from '../getCurrentStage.ts';
import {getFailureOutcome} from '../getFailureOutcome.ts';

function sendTombstone(state: EntryState, request: EntryRows['request']): void {
  // No attempt has an empty id.
  const attempt = state.attempts.get(request.currentAttemptId ?? '');
  if (attempt === undefined || request.tombstoneSent) return;
  request.tombstoneSent = true;
  const {requestId, stageIndex, attemptId, endpoint} = attempt;
  const frame = {tag: 'tombstone', requestId, stageIndex, attemptId} as const;
  state.commands.push({tag: 'send', endpoint, frame});
}

function expire(state: EntryState, request: EntryRows['request']): void {
  const attempt = state.attempts.get(request.currentAttemptId ?? '');
  finishRequest(state, request, {
    tag: 'deadlineExceeded',
    step: attempt === undefined ? 'route' : 'execute',
    peer: attempt?.endpoint ?? null,
    outcome: getFailureOutcome(request),
    message: request.lastError?.message ?? 'The deadline passed.',
  });
}

/**
 * Fails requests whose deadline has passed. Shortly before, an action is
 * tombstoned at its endpoint, which proves the outcome `notRun` if the action
 * has not started.
 *
 * @example
 *     enforceDeadlines(state, now);
 *     state.commands.map(({tag}) => tag); // ['fail', 'send']
 */
export function enforceDeadlines(state: EntryState, now: number): void {
  const margin = ENTRY_LIMITS.tombstoneMarginMilliseconds;
  for (const request of [...state.requests.rows()]) {
    if (now >= request.deadlineAt) {
      expire(state, request);
      continue;
    }
    const isAction = !getCurrentStage(request).idempotent;
    if (isAction && now >= request.deadlineAt - margin) {
      sendTombstone(state, request);
    }
  }
}
