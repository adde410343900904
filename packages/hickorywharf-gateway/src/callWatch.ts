/** Receives what becomes of one call at an endpoint. */
export interface CallWatch {
  /** Records that complete events of a stream arrived. */
  recordEvents(): void;
  /**
   * Records a whole answer with a status of success. The end of a stream without
   * framing does not prove that it is whole.
   */
  recordAnswer(): void;
  /** Records that the connection broke without a whole answer. */
  recordBroken(reason: string): void;
  /** Ends the watch; the call waits no longer. */
  end(): void;
}
