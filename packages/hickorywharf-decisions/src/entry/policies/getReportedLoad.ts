import type {EntryRows} from '../entryRows.ts';

/**
 * Work expected at an endpoint, as a share of its capacity: the lagging report
 * corrected by what this entry has sent since, and never below what this entry
 * itself has in flight there.
 *
 * @example
 *     getReportedLoad(endpoint); // 1.5: half as much again as it can work on
 */
export function getReportedLoad(endpoint: EntryRows['endpoint']): number {
  const {load, inFlight, sentSinceReport} = endpoint;
  if (load === null) return inFlight;
  const reported = load.queued + load.running + sentSinceReport;
  return Math.max(reported, inFlight) / Math.max(1, load.capacity);
}
