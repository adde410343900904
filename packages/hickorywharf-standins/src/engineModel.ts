/**
 * Cost model of the engine stand-in. Times are shares of its token time (the
 * time between tokens while the batch is full), so that one setting scales all
 * of them.
 */
export const ENGINE_MODEL = {
  /** Part of a step that does not depend on the batch size. */
  fixedStepShare: 0.8,
  /** Part of a step that grows with the batch size; whole for a full batch. */
  batchStepShare: 0.2,
  /** Cost of one uncached prompt token, as a share of the token time. */
  prefillTokenShare: 0.0015,
  /** The most uncached prompt tokens that one step prefills. */
  prefillChunkTokens: 256,
  charactersPerToken: 4,
  /** Tokens in a block of the prefix cache. */
  blockTokens: 64,
  /** Capacity of the prefix cache, in blocks. */
  cacheBlocks: 256,
  /** Delay of load reports and cache events. */
  reportLagMilliseconds: 500,
  /** One in this many cache events is lost. */
  lostCacheEvent: 10,
  /** The most cache events that are retained for readers. */
  maximumCacheEvents: 1000,
  /** Cost of transferring a KV cache block, as a share of the token time. */
  transferBlockShare: 0.02,
} as const;
