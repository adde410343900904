/** What the gateway reads from the head of a caller's request. */
export interface GatewayCall {
  readonly id: string;
  /** How long the caller waits; null where it does not say. */
  readonly timeLeftMilliseconds: number | null;
  readonly key: string | null;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** The parts of the prompt in order; other calls may share them. */
  readonly promptParts: ReadonlyArray<{
    readonly id: string;
    readonly tokens: number;
  }>;
  /** Pieces of each stage, by the stage's position. */
  readonly pieces: readonly number[];
  readonly pieceKey: string | null;
  /** The event after which a resumed stream goes on. */
  readonly lastEventId: string | null;
  /** Headers that go on unchanged, names and values by turns. */
  readonly headers: readonly string[];
}
