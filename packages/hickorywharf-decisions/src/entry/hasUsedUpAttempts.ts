import {ENTRY_LIMITS} from './entryLimits.ts';
import type {EntryRows} from './entryRows.ts';
import {getCurrentStage} from './getCurrentStage.ts';

/**
 * Whether the current stage of a request gets no further attempt after those
 * that failed. An action has no limit, as only its home may run it.
 *
 * @example
 *     hasUsedUpAttempts(request); // false before the first failure
 */
export function hasUsedUpAttempts(request: EntryRows['request']): boolean {
  return (
    getCurrentStage(request).idempotent &&
    request.attemptsMade >= ENTRY_LIMITS.maximumAttemptsPerStage &&
    request.lastError !== null
  );
}
