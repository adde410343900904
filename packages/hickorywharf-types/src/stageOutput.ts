/** What a stage gives back; one variant for each kind of stage. */
export type StageOutput =
  | {readonly kind: 'encode'; readonly vector: readonly number[]}
  | {readonly kind: 'retrieve'; readonly documents: readonly string[]}
  | {readonly kind: 'rerank'; readonly documents: readonly string[]}
  | {
      readonly kind: 'generate';
      /** Empty between processes: the tokens travel in frames of their own. */
      readonly tokens: readonly string[];
      /** Length of the whole generation, to prove that none is missing. */
      readonly tokenCount: number;
      readonly cachedTokens: number;
    }
  | {
      readonly kind: 'call';
      readonly response: Readonly<Record<string, unknown>>;
    };
