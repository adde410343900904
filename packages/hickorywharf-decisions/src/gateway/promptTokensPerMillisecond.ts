/** How fast an engine reads prompts; from the sheets of both deployments. */
export const PROMPT_TOKENS_PER_MILLISECOND = 50;
