import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';
import {getCorrectedLoad} from './getCorrectedLoad.ts';

interface PoolLoad {
  /** Estimated attempts that are queued or running. */
  readonly attempts: number;
  /** Attempts that the pool can run in parallel. */
  readonly capacity: number;
}

function canServe(
  endpoint: EntryRows['endpoint'] | undefined,
): endpoint is EntryRows['endpoint'] {
  return endpoint !== undefined && endpoint.connected && !endpoint.leaving;
}

/**
 * Estimates the load of a pool: the sum of the corrected loads of its connected
 * endpoints that are neither draining nor leaving according to their own frames;
 * the platform's list is not consulted. An endpoint that has sent no load report
 * counts with a capacity of 1.
 *
 * @example
 *     getPoolLoad(state, 'engines').capacity; // 16
 */
export function getPoolLoad(state: EntryState, pool: string): PoolLoad {
  let attempts = 0;
  let capacity = 0;
  for (const record of state.configuration?.endpointsByPool.get(pool) ?? []) {
    if (record.draining) continue;
    const endpoint = state.endpoints.get(record.name);
    if (!canServe(endpoint)) continue;
    const slots = Math.max(1, endpoint.load?.capacity ?? 1);
    attempts += getCorrectedLoad(state, endpoint) * slots;
    capacity += slots;
  }
  return {attempts, capacity};
}
