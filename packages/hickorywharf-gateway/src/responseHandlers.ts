/** What a response reader finds, in order. */
export interface ResponseHandlers {
  onHead(status: number, rawHeaders: readonly string[]): void;
  /** A part of the body; the bytes are valid only during the call. */
  onBody(bytes: Buffer): void;
  /** The response is whole. */
  onEnd(): void;
}
