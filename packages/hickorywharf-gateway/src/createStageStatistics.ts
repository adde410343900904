/** Counters of one service since the last summary. */
interface ServiceStatistics {
  calls: number;
  pieces: number;
  /** Pieces that were sent while an overdue call with them was open. */
  hedged: number;
  /** Pieces that endpoints rejected for lack of memory. */
  noRoom: number;
  expired: number;
  longestQueue: number;
}

interface StageStatistics {
  /** The counters of a service, to be incremented; created on first use. */
  get(service: string): ServiceStatistics;
  /** Writes and resets all counters if a second has passed since last time. */
  summarize(
    write: (service: string, tally: Readonly<ServiceStatistics>) => void,
  ): void;
}

const SUMMARY_INTERVAL_MILLISECONDS = 1000;

/**
 * Counts the stage work at each service, for one log line a second.
 *
 * @param now monotonic milliseconds
 * @example
 *     const statistics = createStageStatistics(now);
 *     statistics.get('scan').calls += 1;
 */
export function createStageStatistics(now: () => number): StageStatistics {
  const tallies = new Map<string, ServiceStatistics>();
  let summarizedAt = 0;
  return {
    get(service) {
      let tally = tallies.get(service);
      if (tally === undefined) {
        tally = {
          calls: 0,
          pieces: 0,
          hedged: 0,
          noRoom: 0,
          expired: 0,
          longestQueue: 0,
        };
        tallies.set(service, tally);
      }
      return tally;
    },
    summarize(write) {
      if (now() - summarizedAt < SUMMARY_INTERVAL_MILLISECONDS) return;
      summarizedAt = now();
      for (const [service, tally] of tallies) write(service, tally);
      tallies.clear();
    },
  };
}
