/** One moment on both clocks of an instance, in milliseconds. */
export interface Instant {
  readonly monotonic: number;
  readonly wall: number;
}
