/** How a process tells its peers that a newer configuration is in force. */
interface RelayPolicy {
  /** Whether newer configuration goes to peers at all. */
  readonly isRelaying: boolean;
  /** Whether entries are sent at once, or the sequence number first. */
  readonly isPushing: boolean;
}

/**
 * The ways of passing a change on to connected peers. `announce` sends the
 * sequence number, and the peer fetches from the first that it hears of;
 * `push` sends the entries at once; `none` is for comparison.
 */
export const relayPolicies: Readonly<
  Record<'announce' | 'push' | 'none', RelayPolicy>
> = {
  announce: {isRelaying: true, isPushing: false},
  push: {isRelaying: true, isPushing: true},
  none: {isRelaying: false, isPushing: false},
};
