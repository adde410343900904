interface LimitedEndpoint {
  /** Calls per second that this instance may send; Infinity without a limit. */
  readonly callsPerSecond: number;
  /** Milliseconds until it may send a call; Infinity for never. */
  readonly waitMilliseconds: number;
}

/**
 * Estimates how long the rate limits of the endpoints of a service delay a
 * call, in milliseconds. Infinity if this instance may use none of them; 0 if
 * there are none, as no limit is the reason then.
 *
 * @param callsAhead calls of this instance that will be sent before
 * @example
 *     estimateLimitWait([{callsPerSecond: 2, waitMilliseconds: 100}], 3); // 1600
 */
export function estimateLimitWait(
  endpoints: readonly LimitedEndpoint[],
  callsAhead: number,
): number {
  if (endpoints.length === 0) return 0;
  let callsPerSecond = 0;
  let earliest = Infinity;
  for (const endpoint of endpoints) {
    if (endpoint.callsPerSecond === Infinity) return 0;
    callsPerSecond += endpoint.callsPerSecond;
    earliest = Math.min(earliest, endpoint.waitMilliseconds);
  }
  if (callsPerSecond === 0 || callsAhead === 0) return earliest;
  return earliest + (callsAhead / callsPerSecond) * 1000;
}
