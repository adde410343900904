import {PROMPT_TOKENS_PER_MILLISECOND} from './promptTokensPerMillisecond.ts';

/** Beside the reading of the prompt. */
const CALL_MILLISECONDS = 120;

/**
 * About how long an engine takes from a call to its first event, in
 * milliseconds.
 *
 * @example
 *     estimateEngineTime(1460);
 */
export function estimateEngineTime(promptTokens: number): number {
  return CALL_MILLISECONDS + promptTokens / PROMPT_TOKENS_PER_MILLISECOND;
}
