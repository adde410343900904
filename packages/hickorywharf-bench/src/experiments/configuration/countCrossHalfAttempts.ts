import type {HistoryEvent} from 'hickorywharf-types/historyEvent';

interface CountOptions {
  /** Half by caller process. */
  readonly halves: ReadonlyMap<string, string>;
  /** Half by endpoint; endpoints without a half are absent. */
  readonly endpointHalves: ReadonlyMap<string, string>;
  /** Wall time; requests accepted by an entry earlier are ignored. */
  readonly fromMilliseconds: number;
}

/**
 * Counts attempts that an endpoint of one half accepted for a request of the
 * other half.
 *
 * @example
 *     countCrossHalfAttempts(events, options);
 */
export function countCrossHalfAttempts(
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
  let attempts = 0;
  for (const event of events) {
    if (event.tag !== 'attemptAccepted') continue;
    const requestHalf = halfOfRequest.get(event.requestId);
    const half = endpointHalves.get(event.endpoint);
    if (requestHalf === undefined || half === undefined) continue;
    if (half !== requestHalf) attempts += 1;
  }
  return attempts;
}
