import {createRefusal} from '../createRefusal.ts';
import {endAttempt} from '../endAttempt.ts';
import type {EndpointState} from '../endpointState.ts';
import {getWorkUnits} from '../policies/getWorkUnits.ts';
import {QUEUE_LIMITS} from '../policies/queueLimits.ts';
import {queuePolicies} from '../policies/queuePolicies.ts';

/**
 * Refuses queued idempotent attempts whose remaining time is below
 * `QUEUE_LIMITS.infeasibleShare` of the time that they and the later stages are
 * expected to need, so that the backend spends no time on them. Does nothing if
 * the queue policy does not refuse them.
 *
 * @param now monotonic milliseconds
 * @example
 *     refuseInfeasible(state, now);
 */
export function refuseInfeasible(state: EndpointState, now: number): void {
  if (state.queued === 0) return;
  if (!queuePolicies[state.queueOrder]!.refusesInfeasible) return;
  for (const attempt of [...state.attempts.rows()]) {
    if (attempt.state !== 'queued' || !attempt.frame.idempotent) continue;
    const {kind, laterMilliseconds} = attempt.frame;
    // Before the first result of a kind, only the later stages count.
    const unit = state.schedulerState.unitMilliseconds.get(kind) ?? 0;
    const needed = unit * getWorkUnits(attempt) + laterMilliseconds;
    const remaining = attempt.deadlineAt - now;
    if (remaining >= needed * QUEUE_LIMITS.infeasibleShare) continue;
    const refusal = createRefusal(attempt.frame, 'cannotFinish');
    endAttempt(state, attempt, refusal, now);
  }
}
