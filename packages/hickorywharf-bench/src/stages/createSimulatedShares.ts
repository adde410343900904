import {createFairShares} from 'hickorywharf-decisions/gateway/createFairShares';

type FairShares = ReturnType<typeof createFairShares>;

const HEARTBEAT_MILLISECONDS = 250;
/** Time of a report on its way, and until the receiver reads it. */
const TRANSIT_MILLISECONDS = 40;

interface SimulatedShares {
  get(instance: number): FairShares;
  /** Exchanges the reports of a heartbeat, and schedules the next one. */
  exchange(): void;
}

/**
 * Gives each simulated instance its own counts. As in the gateway, the first
 * instance dispatches, all others tell it theirs, and it tells them the sum.
 *
 * @param instances number of instances
 * @param isEnded whether no more heartbeats are to be scheduled
 * @example
 *     const shares = createSimulatedShares(26, getNow, schedule, isEnded);
 *     shares.exchange();
 */
export function createSimulatedShares(
  instances: number,
  getNow: () => number,
  schedule: (at: number, run: () => void) => void,
  isEnded: () => boolean,
): SimulatedShares {
  const all = Array.from({length: instances}, createFairShares);
  const [hub] = all as [FairShares];

  function exchange(): void {
    const sentAt = getNow();
    const sum = hub.createSum(sentAt);
    all.slice(1).forEach((shares, index) => {
      const report = shares.createReport(sentAt);
      schedule(sentAt + TRANSIT_MILLISECONDS, () => {
        const now = getNow();
        if (report !== null) hub.recordReport(`${index}`, report, now);
        if (sum !== null) shares.recordSum('hub', sum, now);
      });
    });
    if (!isEnded()) schedule(sentAt + HEARTBEAT_MILLISECONDS, exchange);
  }

  return {get: (instance) => all[instance]!, exchange};
}
