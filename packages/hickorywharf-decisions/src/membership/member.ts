/** Another process as this one has observed it. */
export interface Member {
  readonly name: string;
  readonly failureDomain: string;
  readonly connected: boolean;
  readonly leaving: boolean;
  /** Monotonic time of the last frame from it, in milliseconds; 0 for none. */
  readonly lastSeenAt: number;
}
