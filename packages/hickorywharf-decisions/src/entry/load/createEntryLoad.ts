import type {EntryLoad} from './entryLoad.ts';
import {LOAD_LIMITS} from './loadLimits.ts';

/**
 * Creates the initial statistics of an entry's policies.
 *
 * @example
 *     createEntryLoad().entryCount; // 1
 */
export function createEntryLoad(): EntryLoad {
  return {
    serviceMilliseconds: new Map(),
    latencies: new Map(),
    prefixes: new Map(),
    accounts: new Map(),
    entryCount: 1,
    hedgeBudget: LOAD_LIMITS.maximumHedgeBudget,
  };
}
