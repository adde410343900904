import type {EntryLoad} from './entryLoad.ts';

type EndpointSpeed = ReturnType<EntryLoad['speeds']['get']> & object;

/**
 * The row of an endpoint's speed, made where there is none.
 *
 * @example
 *     getSpeed(state.load, 'engine-1').samples;
 */
export function getSpeed(load: EntryLoad, endpoint: string): EndpointSpeed {
  const known = load.speeds.get(endpoint);
  if (known !== undefined) return known;
  const created: EndpointSpeed = {
    slowness: 1,
    samples: 0,
    endedSinceReport: 0,
    ejectedUntil: 0,
    ejections: 0,
    isOnTrial: false,
  };
  load.speeds.set(endpoint, created);
  return created;
}
