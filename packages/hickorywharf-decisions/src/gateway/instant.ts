/** One moment on both clocks of a process, in milliseconds. */
export interface Instant {
  readonly monotonic: number;
  /** Milliseconds since the epoch; may be set back. */
  readonly wall: number;
}
