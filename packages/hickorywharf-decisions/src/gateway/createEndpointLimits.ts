/** An endpoint on the list; `startedAt` distinguishes its incarnations. */
interface Endpoint {
  readonly id: string;
  readonly startedAt: number;
}

interface LimitChange {
  readonly endpointId: string;
  /** Null for no limit. */
  readonly before: number | null;
  readonly callsPerSecond: number | null;
}

/** Every `now` is in monotonic milliseconds. */
interface EndpointLimits {
  /**
   * Records the limit that a response of the endpoint states, null for none.
   * Returns the change; null if the limit is the same as before.
   */
  recordResponse(
    endpoint: Endpoint,
    callsPerSecond: number | null,
  ): LimitChange | null;
  /** Discards what is known of the endpoint. */
  remove(id: string): void;
}

/**
 * Tracks the rate limits that endpoints state in their responses, by the
 * incarnation of the endpoint.
 *
 * @example
 *     const limits = createEndpointLimits();
 *     limits.recordResponse(endpoint, 1.4);
 */
export function createEndpointLimits(): EndpointLimits {
  const limits = new Map<
    string,
    {readonly startedAt: number; readonly callsPerSecond: number}
  >();
  return {
    recordResponse({id, startedAt}, callsPerSecond) {
      const known = limits.get(id);
      const before =
        known?.startedAt === startedAt ? known.callsPerSecond : null;
      if (callsPerSecond === null) limits.delete(id);
      else limits.set(id, {startedAt, callsPerSecond});
      return before === callsPerSecond
        ? null
        : {endpointId: id, before, callsPerSecond};
    },
    remove: (id) => void limits.delete(id),
  };
}
