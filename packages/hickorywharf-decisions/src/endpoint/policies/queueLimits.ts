/** Parameters of the queue policies of an endpoint process. */
export const QUEUE_LIMITS = {
  /** An attempt with more work units than this counts as long. */
  longUnits: 18,
  /**
   * Share of the slots, at least one slot, that long work leaves free while
   * there is short work. The only slot of an endpoint is never reserved.
   */
  reservedShare: 0.25,
  /** How long slots stay reserved after short work last waited or ran. */
  reservedMilliseconds: 2000,
  /** Work units by which accounts may differ before the order depends on it. */
  quantumUnits: 32,
  /** Weight of a millisecond of expected service against one of waiting. */
  serviceTimeWeight: 4,
  /** Weight of a new sample in the moving average of a work unit's time. */
  sampleWeight: 0.1,
  /**
   * A queued idempotent attempt is refused if the time until its deadline is
   * below this share of the time that it and the later stages of its request are
   * expected to need.
   */
  infeasibleShare: 0.7,
} as const;
