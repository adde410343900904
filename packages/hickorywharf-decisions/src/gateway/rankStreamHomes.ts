import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';
import {rankByCapacity} from './rankByCapacity.ts';

/** Up to so many instances, all of them keep records of streams. */
const MINIMUM_KEEPERS = 6;
/** With more, one instance in this many does. */
const INSTANCES_PER_KEEPER = 10;

/**
 * Ranks the instances that are told which version began a stream. Only some of
 * many instances keep such records, so that each connects to few others.
 *
 * @param instances all instances; `capacity` is in cores
 * @param streamId without it, all instances that keep records, in no order
 *     that depends on a stream
 * @example
 *     rankStreamHomes(instances, '9c41'); // ['front-2', 'front-1', 'front-3']
 */
export function rankStreamHomes(
  instances: ReadonlyArray<{readonly name: string; readonly capacity: number}>,
  streamId?: string,
): string[] {
  const count = Math.max(
    MINIMUM_KEEPERS,
    Math.ceil(instances.length / INSTANCES_PER_KEEPER),
  );
  const keepers = rankByCapacity('streams', instances).slice(0, count);
  return streamId === undefined
    ? keepers
    : orderByRendezvous(streamId, keepers);
}
