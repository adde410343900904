import type {HistoryEvent} from 'hickorywharf-types/historyEvent';

interface CountOptions {
  /** The half of each process of callers. */
  readonly halves: ReadonlyMap<string, string>;
  /** The half of each endpoint that has one. */
  readonly endpointHalves: ReadonlyMap<string, string>;
  /** Requests that an entry took before this do not count. */
  readonly fromMilliseconds: number;
}

/**
 * Attempts that an endpoint of one half accepted for a request of the other.
 *
 * @example
 *     countForeignAttempts(events, {halves, endpointHalves, fromMilliseconds});
 */
export function countForeignAttempts(
  events: readonly HistoryEvent[],
  options: CountOptions,
): number {
  const {halves, endpointHalves, fromMilliseconds} = options;
  const halfOfCall = new Map<string, string>();
  const halfOfRequest = new Map<string, string>();
  for (const event of events) {
    const half = halves.get(event.process);
    if (event.tag === 'requestSent' && half !== undefined) {
      halfOfCall.set(event.callId, half);
    }
  }
  for (const event of events) {
    if (event.tag !== 'requestAccepted') continue;
    if (event.wallMilliseconds < fromMilliseconds) continue;
    const half = halfOfCall.get(event.callId ?? '');
    if (half !== undefined) halfOfRequest.set(event.requestId, half);
  }
  let foreign = 0;
  for (const event of events) {
    if (event.tag !== 'attemptAccepted') continue;
    const wanted = halfOfRequest.get(event.requestId);
    const half = endpointHalves.get(event.endpoint);
    if (wanted === undefined || half === undefined) continue;
    if (half !== wanted) foreign += 1;
  }
  return foreign;
}
