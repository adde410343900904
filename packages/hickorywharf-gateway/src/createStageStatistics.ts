/** What happened at one service since the last summary. */
interface ServiceTally {
  calls: number;
  pieces: number;
  noRoom: number;
  expired: number;
  longestQueue: number;
}

interface StageTally {
  /** The figures of a service, to be added to. */
  get(service: string): ServiceTally;
  /** Writes all figures and begins anew, once a second. */
  summarize(
    write: (service: string, tally: Readonly<ServiceTally>) => void,
  ): void;
}

const SUMMARY_MILLISECONDS = 1000;

/**
 * Figures of the work at each service, for one line of the log a second.
 *
 * @param now monotonic milliseconds
 * @example
 *     const tally = createStageStatistics(now);
 *     tally.get('scan').calls += 1;
 */
export function createStageStatistics(now: () => number): StageTally {
  const tallies = new Map<string, ServiceTally>();
  let summarizedAt = 0;
  return {
    get(service) {
      let tally = tallies.get(service);
      if (tally === undefined) {
        tally = {calls: 0, pieces: 0, noRoom: 0, expired: 0, longestQueue: 0};
        tallies.set(service, tally);
      }
      return tally;
    },
    summarize(write) {
      if (now() - summarizedAt < SUMMARY_MILLISECONDS) return;
      summarizedAt = now();
      for (const [service, tally] of tallies) write(service, tally);
      tallies.clear();
    },
  };
}
