/** A network link whose bandwidth all its connections share. */
export interface Link {
  /** Bytes that were sent over the link. */
  readonly sentBytes: number;
  /** Changes the bandwidth of what is sent from now on. */
  setBandwidth(bytesPerSecond: number): void;
  /** Resolves when the bytes were sent, after those of earlier calls. */
  send(bytes: number): Promise<void>;
}
