import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';

/**
 * Chooses an endpoint for an attempt among at least one that may take it.
 */
export type RoutingPolicy = (
  state: EntryState,
  candidates: readonly EntryRows['endpoint'][],
  now: number,
  request: EntryRows['request'],
) => EntryRows['endpoint'];
