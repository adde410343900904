import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';

/**
 * Work expected at an endpoint as a share of its capacity: the lagging report,
 * with what this entry has sent since added and what has ended since taken
 * off, and never below what this entry itself has there.
 *
 * @example
 *     getCorrectedLoad(state, endpoint); // 1.5: half as much again as it can
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
