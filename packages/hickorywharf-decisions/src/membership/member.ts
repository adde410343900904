/** What a process has observed of another one. */
export interface Member {
  readonly name: string;
  readonly failureDomain: string;
  /** Whether there is a connection between the two processes. */
  readonly connected: boolean;
  /** Whether the observed process has stated that it is leaving. */
  readonly leaving: boolean;
  /**
   * Monotonic milliseconds; 0 before the first connection. The time of the last
   * frame or of the last change of the connection, moved forward by pauses of
   * the observing process.
   */
  readonly lastSeenAt: number;
}
