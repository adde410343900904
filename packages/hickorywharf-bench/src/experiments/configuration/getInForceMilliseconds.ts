import type {HistoryEvent} from 'hickorywharf-types/historyEvent';

interface Accepted {
  readonly sequence: number;
  readonly wallMilliseconds: number;
}

/**
 * For each accepted change, the time from its acceptance until the last of
 * the named processes had it, or something newer, in force; Infinity where one
 * never had. All processes share one machine's wall clock.
 *
 * @example
 *     getInForceMilliseconds(events, accepted, ['entry-1']);
 */
export function getInForceMilliseconds(
  events: readonly HistoryEvent[],
  accepted: readonly Accepted[],
  names: readonly string[],
): number[] {
  const inForce = new Map<string, Accepted[]>(names.map((name) => [name, []]));
  for (const event of events) {
    if (event.tag !== 'configurationInForce') continue;
    inForce.get(event.process)?.push(event);
  }
  return accepted.map(({sequence, wallMilliseconds}) => {
    let last = 0;
    for (const seen of inForce.values()) {
      const first = seen.find((event) => event.sequence >= sequence);
      if (first === undefined) return Infinity;
      last = Math.max(last, first.wallMilliseconds - wallMilliseconds);
    }
    return last;
  });
}
