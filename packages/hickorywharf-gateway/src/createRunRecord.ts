interface RunRecord {
  /** Endpoints at which the call may have run, or may be running. */
  readonly count: number;
  /** Records that the call is sent to an endpoint. */
  recordSend(endpointId: string): void;
  /** Records that a send to an endpoint provably did not run the call. */
  recordNotRun(endpointId: string): void;
  /** Whether the call may run at one more endpoint. */
  hasRoom(): boolean;
  /**
   * Whether the call may run at this endpoint. One at which it may have run
   * adds none to those that it runs at.
   */
  mayRunAt(endpointId: string): boolean;
}

/**
 * Records the endpoints at which one call may have run, of which its route
 * allows a number.
 *
 * @example
 *     const runs = createRunRecord(2);
 *     runs.recordSend('desk-1');
 *     runs.recordNotRun('desk-1');
 *     runs.count; // 0
 */
export function createRunRecord(maximumEndpoints: number): RunRecord {
  /** Sends that may have run the call, by endpoint. */
  const sends = new Map<string, number>();
  const hasRoom = (): boolean => sends.size < maximumEndpoints;

  return {
    get count() {
      return sends.size;
    },
    recordSend(endpointId) {
      sends.set(endpointId, (sends.get(endpointId) ?? 0) + 1);
    },
    recordNotRun(endpointId) {
      const remaining = (sends.get(endpointId) ?? 0) - 1;
      if (remaining > 0) sends.set(endpointId, remaining);
      else sends.delete(endpointId);
    },
    hasRoom,
    mayRunAt: (endpointId) => hasRoom() || sends.has(endpointId),
  };
}
