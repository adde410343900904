/**
 * Prefill rate that estimates assume for every engine. It is the rate in the
 * limits of both deployments.
 */
export const PROMPT_TOKENS_PER_MILLISECOND = 50;
