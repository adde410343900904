import type {EntryLoad} from './entryLoad.ts';

type EndpointLatencyRow = ReturnType<EntryLoad['latencies']['get']> & object;

/**
 * Returns the latency row of an endpoint, created where there is none.
 *
 * @example
 *     getOrCreateLatencyRow(state.load, 'engine-1').samples; // 0 at first
 */
export function getOrCreateLatencyRow(
  load: EntryLoad,
  endpoint: string,
): EndpointLatencyRow {
  const known = load.latencies.get(endpoint);
  if (known !== undefined) return known;
  const created: EndpointLatencyRow = {
    slowness: 1,
    samples: 0,
    endedSinceReport: 0,
    ejectedUntil: 0,
    ejections: 0,
    isOnProbation: false,
  };
  load.latencies.set(endpoint, created);
  return created;
}
