/** Read at each use, as the settings may change. */
interface HedgeShareOptions {
  /** Hedges allowed for each call to a service. */
  readonly callShare: number;
  /** Share of an endpoint's slots, of all endpoints, that hedges may occupy. */
  readonly roomShare: number;
  /** Length of the sliding window in which calls and hedges count. */
  readonly windowMilliseconds: number;
}

interface Room {
  /** Calls that the endpoints of the service run in parallel. */
  readonly slots: number;
  readonly instances: number;
}

/** Every `now` is in monotonic milliseconds. */
interface HedgeShare {
  /** Counts a call, which raises the limit while it is in the window. */
  recordCall(service: string, now: number): void;
  /** Whether a hedge is within both shares now. */
  mayStart(service: string, room: Room, now: number): boolean;
  /** Counts a hedge; the function returned records its end. */
  start(service: string, now: number): () => void;
}

interface Row {
  calls: number[];
  hedges: number[];
  running: number;
}

function evictBefore(times: number[], before: number): void {
  let count = 0;
  while (count < times.length && times[count]! < before) count += 1;
  if (count > 0) times.splice(0, count);
}

/**
 * Limits hedges to the operators' share of the calls to a service in a sliding
 * window, and of its endpoints' slots. Each instance keeps the share of its own
 * calls, so that all together keep it. Of the slots each has an equal part; an
 * instance whose part is less than one slot may use one while the calls of the
 * window allow for it.
 *
 * @example
 *     const share = createHedgeShare({callShare: 0.05, roomShare: 0.1, windowMilliseconds: 10_000});
 *     share.mayStart('desk', {slots: 18, instances: 3}, now); // false, without calls
 */
export function createHedgeShare(options: HedgeShareOptions): HedgeShare {
  const rows = new Map<string, Row>();

  function getRow(service: string, now: number): Row {
    const row = rows.get(service) ?? {calls: [], hedges: [], running: 0};
    rows.set(service, row);
    const since = now - options.windowMilliseconds;
    evictBefore(row.calls, since);
    evictBefore(row.hedges, since);
    return row;
  }

  return {
    recordCall: (service, now) => void getRow(service, now).calls.push(now),
    mayStart(service, {slots, instances}, now) {
      const {calls, hedges, running} = getRow(service, now);
      const {callShare, roomShare} = options;
      if (hedges.length + 1 > calls.length * callShare) return false;
      const part = (slots * roomShare) / Math.max(instances, 1);
      return roomShare > 0 && running < Math.max(1, part);
    },
    start(service, now) {
      const row = getRow(service, now);
      row.hedges.push(now);
      row.running += 1;
      let isRunning = true;
      return () => {
        if (!isRunning) return;
        isRunning = false;
        row.running -= 1;
      };
    },
  };
}
