/** Another process, as this one has observed it. Times are monotonic. */
export interface Member {
  readonly name: string;
  readonly failureDomain: string;
  readonly connected: boolean;
  readonly leaving: boolean;
  /** When a frame of it came last; 0 for never. */
  readonly lastSeenAt: number;
}
