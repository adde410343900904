/** The fields that the gateway reads from the headers of a caller's request. */
export interface GatewayCall {
  readonly id: string;
  /** The timeout that the caller states; null if it states none. */
  readonly timeLeftMilliseconds: number | null;
  /** The key of a client account; null if the request has none. */
  readonly key: string | null;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** The parts of the prompt in order; other calls may share them. */
  readonly promptParts: ReadonlyArray<{
    readonly id: string;
    readonly tokens: number;
  }>;
  /** Number of pieces of each stage, by the position of the stage. */
  readonly pieces: readonly number[];
  /** Names the caller's material that stages without inputs read. */
  readonly pieceKey: string | null;
  /** The event after which a resumed stream continues. */
  readonly lastEventId: string | null;
  /** Headers to forward unchanged, names and values alternating. */
  readonly headers: readonly string[];
}
