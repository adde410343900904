interface CallerConnection {
  /**
   * Whom the connection waits for: its caller, to send a request or the rest of
   * one, or to read a response; or this system, to answer.
   */
  readonly waitsFor: 'request' | 'reader' | 'system';
  /** When its caller last brought anything forward, monotonic milliseconds. */
  readonly progressedAt: number;
}

/** A caller that may take this long to read gives way after all others. */
const READER_GRACE_MILLISECONDS = 2000;

/**
 * Finds the connection that is closed so that another caller can connect. It
 * answers crowds of connections that stay open without a whole request, or
 * whose callers do not read: the one whose caller has brought nothing forward
 * for longest is closed, one that is being read only if there is no other. A
 * connection whose request this system works on stays.
 *
 * @returns undefined if none may be closed
 * @example
 *     findConnectionToClose(connections, 5000)?.socket.destroy();
 */
export function findConnectionToClose<Connection extends CallerConnection>(
  connections: Iterable<Connection>,
  nowMilliseconds: number,
): Connection | undefined {
  let stalled: Connection | undefined;
  let reading: Connection | undefined;
  for (const connection of connections) {
    const {waitsFor, progressedAt} = connection;
    if (waitsFor === 'system') continue;
    const isReading =
      waitsFor === 'reader' &&
      nowMilliseconds - progressedAt < READER_GRACE_MILLISECONDS;
    if (isReading) {
      if (progressedAt < (reading?.progressedAt ?? Infinity)) {
        reading = connection;
      }
    } else if (progressedAt < (stalled?.progressedAt ?? Infinity)) {
      stalled = connection;
    }
  }
  return stalled ?? reading;
}
