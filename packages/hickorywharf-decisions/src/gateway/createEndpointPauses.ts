/** `startedAt` distinguishes the incarnations of an endpoint. */
interface Endpoint {
  readonly id: string;
  readonly startedAt: number;
}

interface PauseChange {
  /** What was left of the pause before; 0 for none. */
  readonly beforeMilliseconds: number;
  readonly milliseconds: number;
  /** Whether the endpoint stated more than the longest pause. */
  readonly isBounded: boolean;
}

/** Every `now` is in monotonic milliseconds. */
interface EndpointPauses {
  /**
   * Records that an incarnation of an endpoint wants no calls for so long.
   * Returns the change; null if an earlier statement holds for longer.
   */
  record(
    endpoint: Endpoint,
    statedMilliseconds: number,
    now: number,
  ): PauseChange | null;
  /** Milliseconds until the endpoint may be called; 0 without a pause. */
  getRemaining(endpoint: Endpoint, now: number): number;
}

/**
 * The longest pause. It is longer than an endpoint needs to recover, and an
 * endpoint that stated years by mistake is used again after it.
 */
const MAXIMUM_PAUSE_MILLISECONDS = 600_000;

function getIncarnationKey({id, startedAt}: Endpoint): string {
  return `${id}/${startedAt}`;
}

/**
 * Keeps for how long endpoints that turned a call of this instance away want no
 * calls from it. A pause ends only by its time: no later response shortens it,
 * as an endpoint may turn away and take calls at the same time. It belongs to
 * one incarnation of the endpoint, and holds for this instance only.
 *
 * @example
 *     const pauses = createEndpointPauses();
 *     pauses.record(endpoint, 1500, now);
 *     pauses.getRemaining(endpoint, now + 1000); // 500
 */
export function createEndpointPauses(): EndpointPauses {
  /** When pauses end, by incarnation. */
  const ends = new Map<string, number>();

  function getRemaining(endpoint: Endpoint, now: number): number {
    const endsAt = ends.get(getIncarnationKey(endpoint)) ?? -Infinity;
    return Math.max(0, endsAt - now);
  }

  return {
    record(endpoint, statedMilliseconds, now) {
      for (const [key, endsAt] of ends) {
        if (endsAt <= now) ends.delete(key);
      }
      const beforeMilliseconds = getRemaining(endpoint, now);
      const milliseconds = Math.min(
        statedMilliseconds,
        MAXIMUM_PAUSE_MILLISECONDS,
      );
      if (milliseconds <= beforeMilliseconds) return null;
      ends.set(getIncarnationKey(endpoint), now + milliseconds);
      const isBounded = milliseconds < statedMilliseconds;
      return {beforeMilliseconds, milliseconds, isBounded};
    },
    getRemaining,
  };
}
