/** Receives the parts of a response, in order. */
export interface ResponseHandlers {
  onHead(status: number, rawHeaders: readonly string[]): void;
  /** Receives a part of the body; the bytes are valid only during the call. */
  onBody(bytes: Buffer): void;
  /** Called when the response is complete. */
  onEnd(): void;
}
