/**
 * What a stand-in of an engine costs. Times are shares of its token time (the
 * time between tokens of a full batch), so that one figure scales an engine.
 */
export const ENGINE_MODEL = {
  /** Share of a step that does not depend on the batch. */
  fixedStepShare: 0.8,
  /** Share of a step that grows with the batch, reached when it is full. */
  batchStepShare: 0.2,
  /** Cost of one uncached prompt token, as a share of the token time. */
  prefillTokenShare: 0.0015,
  /** Uncached prompt tokens that one step of the batch takes in. */
  prefillChunkTokens: 256,
  charactersPerToken: 4,
  /** Tokens of a block of the prefix cache. */
  blockTokens: 64,
  /** Blocks that the prefix cache holds. */
  cacheBlocks: 256,
  /** How late load reports and cache events are, in milliseconds. */
  reportLagMilliseconds: 500,
  /** Every so many cache events, one is lost. */
  lostCacheEvent: 10,
  /** Cache events that are kept for readers. */
  maximumCacheEvents: 1000,
  /** Cost of moving one block of KV cache, as a share of the token time. */
  transferBlockShare: 0.02,
} as const;
