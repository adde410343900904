import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';

/**
 * Estimates the load of an endpoint as a share of its capacity: its last load
 * report, plus the attempts that this entry has sent since, minus those that
 * have ended since, and at least what this entry has in flight there. The
 * capacity counts as 1 before the first report.
 *
 * @example
 *     getCorrectedLoad(state, endpoint); // 1.5: 50 % over its capacity
 */
export function getCorrectedLoad(
  state: EntryState,
  endpoint: EntryRows['endpoint'],
): number {
  const {load, inFlight, sentSinceReport, name} = endpoint;
  if (load === null) return inFlight;
  const ended = state.load.latencies.get(name)?.endedSinceReport ?? 0;
  const reported = load.queued + load.running + sentSinceReport - ended;
  return Math.max(reported, inFlight) / Math.max(1, load.capacity);
}
