/** The two clocks of a process, passed to all code that needs the time. */
export interface Clock {
  /** Milliseconds that never decrease; only differences are meaningful. */
  monotonic(): number;
  /** Milliseconds since the epoch; may jump, and differs between instances. */
  wall(): number;
}
