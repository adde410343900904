/** The fields that the gateway reads from the headers of a caller's request. */
export interface GatewayCall {
  /** Id of the request. */
  readonly id: string;
  /** The timeout that the caller states; null if it states none. */
  readonly timeLeftMilliseconds: number | null;
  /** The key of a client account; null if the request has no valid one. */
  readonly key: string | null;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** The parts of the prompt in order; other calls may have the same parts. */
  readonly promptParts: ReadonlyArray<{
    readonly id: string;
    readonly tokens: number;
  }>;
  /** Number of pieces of each stage, by the position of the stage. */
  readonly pieces: readonly number[];
  /**
   * Names the caller's material, which stages without inputs read; null if the
   * caller states none.
   */
  readonly pieceKey: string | null;
  /**
   * Id of the request that got the first event of the stream that the caller
   * resumes; null if the caller states none.
   */
  readonly resumedRequestId: string | null;
  /** Id of the event after which a stream resumes; null for a new stream. */
  readonly lastEventId: string | null;
  /** Headers to forward unchanged, names and values alternating. */
  readonly headers: readonly string[];
}
