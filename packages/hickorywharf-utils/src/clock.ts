/** The two clocks of a process, handed in wherever time is needed. */
export interface Clock {
  /** Milliseconds that never step back; only differences mean something. */
  monotonic(): number;
  /** Milliseconds since the epoch; may step, and differs between instances. */
  wall(): number;
}
