import type {EntryLoad} from './entryLoad.ts';

type EndpointSpeed = ReturnType<EntryLoad['latencies']['get']> & object;

/**
 * The row of an endpoint's speed, made where there is none.
 *
 * @example
 *     getLatencyRow(state.load, 'engine-1').samples;
 */
export function getLatencyRow(
  load: EntryLoad,
  endpoint: string,
): EndpointSpeed {
  const known = load.latencies.get(endpoint);
  if (known !== undefined) return known;
  const created: EndpointSpeed = {
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
