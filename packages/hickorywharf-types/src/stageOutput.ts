/** The output of a stage, by its kind. */
export type StageOutput =
  | {readonly kind: 'encode'; readonly vector: readonly number[]}
  | {readonly kind: 'retrieve'; readonly documents: readonly string[]}
  | {readonly kind: 'rerank'; readonly documents: readonly string[]}
  | {
      readonly kind: 'generate';
      /** Empty between processes, which send the tokens in separate frames. */
      readonly tokens: readonly string[];
      /** Number of tokens of the whole generation, to detect missing ones. */
      readonly tokenCount: number;
      /** Prompt tokens that were in the engine's cache. */
      readonly cachedTokens: number;
    }
  | {
      readonly kind: 'call';
      readonly response: Readonly<Record<string, unknown>>;
    };
