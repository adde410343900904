import {rankByCapacity} from './rankByCapacity.ts';

interface ReaderOptions {
  /** Name of this instance. */
  readonly name: string;
  readonly failureDomain: string;
  /** All instances, including this one. */
  readonly instances: ReadonlyArray<{
    readonly name: string;
    readonly failureDomain: string;
    /** In cores; low on a slow link, over which the state would be sent. */
    readonly capacity: number;
  }>;
  /** Whether an instance is connected and responds. */
  isConnected(name: string): boolean;
}

/**
 * Picks the instance that reads the store on behalf of this one: the first
 * connected instance of the same failure domain, those with more capacity
 * first. The load on the store then grows with the number of failure domains
 * instead of instances, and the state that a reader sends to other instances
 * does not cross failure domains.
 *
 * Designed for tens of instances that each have to find out, several times a
 * second, that nothing has changed.
 *
 * @returns null if this instance reads the store itself: no other connected
 *     instance of its failure domain precedes it in the order
 * @example
 *     const instances = [{name: 'front-2', failureDomain: 'a', capacity: 1}];
 *     const options = {name: 'x', failureDomain: 'a', instances, isConnected};
 *     chooseStoreReader(options); // 'front-2'
 */
export function chooseStoreReader(options: ReaderOptions): string | null {
  const {name, failureDomain, instances, isConnected} = options;
  const local = instances.filter(
    (instance) => instance.failureDomain === failureDomain,
  );
  for (const candidate of rankByCapacity('reader', local)) {
    if (candidate === name) return null;
    if (isConnected(candidate)) return candidate;
  }
  return null;
}
