/**
 * Retry delay for callers when no endpoint is available, when the stages have
 * failed, or when keys were not confirmed.
 */
export const NO_ENDPOINT_RETRY_MILLISECONDS = 300;
