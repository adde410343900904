import type {HistoryEvent} from 'hickorywharf-types/historyEvent';

interface AcceptedChange {
  readonly sequence: number;
  readonly wallMilliseconds: number;
}

/**
 * Returns for each accepted change the time from its acceptance until it, or a
 * newer change, was active in all given processes; Infinity if one process
 * never activated it. All processes must share the wall clock of one machine.
 *
 * @example
 *     getActivationMilliseconds(events, accepted, ['entry-1']);
 */
export function getActivationMilliseconds(
  events: readonly HistoryEvent[],
  accepted: readonly AcceptedChange[],
  processes: readonly string[],
): number[] {
  const activations = new Map<string, AcceptedChange[]>(
    processes.map((name) => [name, []]),
  );
  for (const event of events) {
    if (event.tag !== 'configurationInForce') continue;
    activations.get(event.process)?.push(event);
  }
  return accepted.map(({sequence, wallMilliseconds}) => {
    let last = 0;
    for (const activated of activations.values()) {
      const first = activated.find((event) => event.sequence >= sequence);
      if (first === undefined) return Infinity;
      last = Math.max(last, first.wallMilliseconds - wallMilliseconds);
    }
    return last;
  });
}
