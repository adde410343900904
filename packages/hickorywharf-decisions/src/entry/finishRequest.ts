import type {ServeError} from 'hickorywharf-types/serveError';
import {ENTRY_LIMITS} from './entryLimits.ts';
import type {EntryRows} from './entryRows.ts';
import type {EntryState} from './entryState.ts';
import {cancelAttempts} from './cancelAttempts.ts';
import {LOAD_LIMITS} from './load/loadLimits.ts';

function releaseAccount(state: EntryState, account: string): void {
  // Never missing: each request was counted on admission.
  const inFlight = (state.inFlightByAccount.get(account) ?? 1) - 1;
  if (inFlight <= 0) state.inFlightByAccount.delete(account);
  else state.inFlightByAccount.set(account, inFlight);
}

/**
 * Finishes a request with its answer or an error and cancels its attempts.
 *
 * @example
 *     finishRequest(state, request, null); // the outputs are the answer
 */
export function finishRequest(
  state: EntryState,
  request: EntryRows['request'],
  error: ServeError | null,
): void {
  const {requestId, account, outputs} = request;
  request.phase = 'finished';
  state.requests.remove(requestId);
  releaseAccount(state, account);
  cancelAttempts(state, requestId);
  if (error !== null) {
    state.commands.push({tag: 'fail', requestId, error});
    return;
  }
  state.retryBudget = Math.min(
    ENTRY_LIMITS.maximumRetryBudget,
    state.retryBudget + ENTRY_LIMITS.retryBudgetPerAnswer,
  );
  state.load.hedgeBudget = Math.min(
    LOAD_LIMITS.maximumHedgeBudget,
    state.load.hedgeBudget + LOAD_LIMITS.hedgeBudgetPerAnswer,
  );
  state.commands.push({tag: 'answer', requestId, outputs});
}
