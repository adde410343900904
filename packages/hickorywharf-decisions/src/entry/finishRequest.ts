import type {ServeError} from 'hickorywharf-types/serveError';
import {ENTRY_LIMITS} from './entryLimits.ts';
import type {EntryRows} from './entryRows.ts';
import type {EntryState} from './entryState.ts';
import {forgetAttempts} from './forgetAttempts.ts';
import {LOAD_LIMITS} from './load/loadLimits.ts';

function releaseAccount(state: EntryState, account: string): void {
  const inFlight = (state.inFlightByAccount.get(account) ?? 1) - 1;
  if (inFlight <= 0) state.inFlightByAccount.delete(account);
  else state.inFlightByAccount.set(account, inFlight);
}

/**
 * Ends a request, whole or with an error. Attempts still out are cancelled.
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
  forgetAttempts(state, requestId);
  if (error !== null) {
    state.commands.push({tag: 'fail', requestId, error});
    return;
  }
  state.retryTokens = Math.min(
    ENTRY_LIMITS.maximumRetryTokens,
    state.retryTokens + ENTRY_LIMITS.retryTokensPerAnswer,
  );
  state.load.hedgeTokens = Math.min(
    LOAD_LIMITS.maximumHedgeTokens,
    state.load.hedgeTokens + LOAD_LIMITS.hedgeTokensPerAnswer,
  );
  state.commands.push({tag: 'answer', requestId, outputs});
}
