import {PROMPT_TOKENS_PER_MILLISECOND} from './promptTokensPerMillisecond.ts';

/** Time to the first event of a call in addition to prefilling its prompt. */
const CALL_MILLISECONDS = 120;

/**
 * Estimates the time that an idle engine takes from the start of a call to its
 * first event, in milliseconds.
 *
 * @example
 *     estimateEngineTime(1460); // about 149
 */
export function estimateEngineTime(promptTokens: number): number {
  return CALL_MILLISECONDS + promptTokens / PROMPT_TOKENS_PER_MILLISECOND;
}
