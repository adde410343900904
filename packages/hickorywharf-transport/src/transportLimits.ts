/** The constants of the connections between our processes, with units. */
export const TRANSPORT_LIMITS = {
  protocolMinimum: 1,
  protocolMaximum: 1,
  maximumFrameBytes: 8 * 1024 * 1024,
  /** A connection with more unsent bytes is closed and made anew. */
  maximumUnsentBytes: 16 * 1024 * 1024,
  heartbeatMilliseconds: 550,
  /** Silence after which a connection is taken for lost. */
  silenceTimeoutMilliseconds: 3000,
  helloTimeoutMilliseconds: 2000,
  reconnectMinimumMilliseconds: 50,
  reconnectMaximumMilliseconds: 2000,
  /** How long a closing server waits for its last bytes to be taken. */
  closeTimeoutMilliseconds: 2000,
} as const;
