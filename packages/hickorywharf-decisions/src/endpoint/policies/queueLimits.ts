/** The constants of an endpoint process's queue, with their units. */
export const QUEUE_LIMITS = {
  /** Work units over which an attempt counts as long. */
  longUnits: 18,
  /** Share of the slots that long work leaves free while there is short. */
  reservedShare: 0.25,
  /** Time after short work was seen in which places are kept for it. */
  reservedMilliseconds: 2000,
  /** Work units by which accounts may be apart before it orders the queue. */
  quantumUnits: 32,
  /** Milliseconds that an attempt may wait for each of its work. */
  serviceTimeWeight: 4,
  /** Weight of a new sample of the time of a work unit. */
  sampleWeight: 0.1,
  /** Share of the expected time under which an attempt is given up. */
  infeasibleShare: 0.7,
} as const;
