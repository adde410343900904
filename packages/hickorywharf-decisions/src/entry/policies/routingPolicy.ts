import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';

/**
 * Chooses the endpoint of an attempt. `candidates` is never empty.
 */
export type RoutingPolicy = (
  state: EntryState,
  candidates: readonly EntryRows['endpoint'][],
  now: number,
  request: EntryRows['request'],
) => EntryRows['endpoint'];
