import type {EntryRows} from './entryRows.ts';
import type {EntryState} from './entryState.ts';
import {getCandidates} from './getCandidates.ts';
import {hasUsedUpAttempts} from './hasUsedUpAttempts.ts';

/**
 * Whether the current stage of a request, which has an attempt at `endpoint`,
 * can be sent to another endpoint now. One that refused or failed the stage
 * counts only if the connection to `endpoint` is lost.
 *
 * @param now monotonic milliseconds
 * @example
 *     canGoElsewhere(state, request, 'engine-1', now); // false if it is alone
 */
export function canGoElsewhere(
  state: EntryState,
  request: EntryRows['request'],
  endpoint: string,
  now: number,
): boolean {
  if (hasUsedUpAttempts(request)) return false;
  const isConnected = state.endpoints.get(endpoint)?.connected === true;
  const excluded = new Set(isConnected ? request.excluded : []).add(endpoint);
  return getCandidates(state, {...request, excluded}, now).length > 0;
}
