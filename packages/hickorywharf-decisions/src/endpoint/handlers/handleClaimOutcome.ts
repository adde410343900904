import type {ClaimOutcome} from '../../homes/claimOutcome.ts';
import {createRefusal} from '../createRefusal.ts';
import {endAttempt} from '../endAttempt.ts';
import type {EndpointRows} from '../endpointRows.ts';
import type {EndpointState} from '../endpointState.ts';

type ActionRow = EndpointRows['action'];

const REFUSAL_REASONS = {
  lost: 'keyClaimed',
  unavailable: 'claimUnavailable',
} as const;

function refuseAll(
  state: EndpointState,
  action: ActionRow,
  reason: 'keyClaimed' | 'claimUnavailable',
  now: number,
): void {
  state.actions.remove(action.idempotencyKey);
  for (const attemptId of [action.attemptId, ...action.joined]) {
    const attempt = state.attempts.get(attemptId);
    if (attempt === undefined || attempt.state === 'finished') continue;
    endAttempt(state, attempt, createRefusal(attempt.frame, reason), now);
  }
}

/**
 * Handles the result of claiming a key that has no issue time: queues the
 * attempt if its claim is won, and else refuses it together with the attempts
 * that joined it. A claim won for an attempt that no longer waits stays in the
 * store unused, so that the key never runs.
 *
 * @param now monotonic milliseconds
 * @example
 *     handleClaimOutcome(state, 'a-1', 'won', now);
 */
export function handleClaimOutcome(
  state: EndpointState,
  attemptId: string,
  outcome: ClaimOutcome,
  now: number,
): void {
  const attempt = state.attempts.get(attemptId);
  if (attempt?.state !== 'claiming') return;
  // Only attempts with a key are claiming.
  const action = state.actions.get(attempt.frame.idempotencyKey ?? '');
  if (action?.attemptId !== attemptId) return;
  if (outcome !== 'won') {
    refuseAll(state, action, REFUSAL_REASONS[outcome], now);
    return;
  }
  action.state = 'queued';
  attempt.state = 'queued';
  state.queued += 1;
  state.commands.push({tag: 'accepted', attempt: attempt.frame});
}
