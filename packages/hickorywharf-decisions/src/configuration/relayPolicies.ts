/** How a process propagates a newer configuration to its peers. */
interface RelayPolicy {
  /** Whether a newer configuration is propagated at all. */
  readonly isRelaying: boolean;
  /**
   * Whether configuration log entries are sent at once, instead of an
   * announcement of the newest sequence number.
   */
  readonly isPushing: boolean;
}

/**
 * Policies for propagating a configuration change to connected peers. `announce`
 * sends the newest sequence number, and a peer fetches the log entries from the
 * first process that announced it. `push` sends the log entries themselves.
 * `none` sends nothing and serves as a baseline in experiments.
 */
export const relayPolicies: Readonly<
  Record<'announce' | 'push' | 'none', RelayPolicy>
> = {
  announce: {isRelaying: true, isPushing: false},
  push: {isRelaying: true, isPushing: true},
  none: {isRelaying: false, isPushing: false},
};
