/** How a process propagates a newer configuration to its peers. */
interface RelayPolicy {
  /** Whether a newer configuration is propagated at all. */
  readonly isRelaying: boolean;
  /** Whether entries are sent without announcing their sequence first. */
  readonly isPushing: boolean;
}

/**
 * Policies for propagating a change to connected peers. `announce` sends the
 * sequence number, and a peer fetches the entries from the first process that
 * announced it; `push` sends the entries themselves; `none` sends nothing and
 * serves as a baseline in experiments.
 */
export const relayPolicies: Readonly<
  Record<'announce' | 'push' | 'none', RelayPolicy>
> = {
  announce: {isRelaying: true, isPushing: false},
  push: {isRelaying: true, isPushing: true},
  none: {isRelaying: false, isPushing: false},
};
