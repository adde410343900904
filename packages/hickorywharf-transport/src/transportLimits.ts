/** Limits and timeouts of the connections between processes. */
export const TRANSPORT_LIMITS = {
  protocolMinimum: 1,
  protocolMaximum: 1,
  maximumFrameBytes: 8 * 1024 * 1024,
  /** The longest hello, which has four names. */
  maximumHelloBytes: 32_768,
  /** Characters of a name in a frame; a frame with a longer one is invalid. */
  maximumNameLength: 1024,
  /** A connection with more unsent bytes is closed; the client reconnects. */
  maximumUnsentBytes: 16 * 1024 * 1024,
  heartbeatMilliseconds: 550,
  /** Time without received bytes after which a connection is closed. */
  silenceTimeoutMilliseconds: 3000,
  helloTimeoutMilliseconds: 2000,
  reconnectMinimumMilliseconds: 50,
  reconnectMaximumMilliseconds: 2000,
  /** How long a closing server waits until its sockets are closed. */
  closeTimeoutMilliseconds: 2000,
} as const;
