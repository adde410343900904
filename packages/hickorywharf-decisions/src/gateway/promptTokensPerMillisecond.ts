/** Prefill rate of an engine, by the limits of both deployments. */
export const PROMPT_TOKENS_PER_MILLISECOND = 50;
