import type {EntryRows} from '../entryRows.ts';

/**
 * Estimates the load of an endpoint as a share of its capacity: its last load
 * report plus the attempts that this entry has sent since, and at least what
 * this entry has in flight there. The capacity counts as 1 before the first
 * report.
 *
 * @example
 *     getReportedLoad(endpoint); // 1.5: 50 % over its capacity
 */
export function getReportedLoad(endpoint: EntryRows['endpoint']): number {
  const {load, inFlight, sentSinceReport} = endpoint;
  if (load === null) return inFlight;
  const reported = load.queued + load.running + sentSinceReport;
  return Math.max(reported, inFlight) / Math.max(1, load.capacity);
}
