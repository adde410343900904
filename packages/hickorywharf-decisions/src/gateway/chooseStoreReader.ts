import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';

interface ReaderOptions {
  readonly name: string;
  readonly failureDomain: string;
  readonly instances: ReadonlyArray<{
    readonly name: string;
    readonly failureDomain: string;
  }>;
  /** Whether an instance is connected and responds. */
  isConnected(name: string): boolean;
}

/**
 * Picks the instance that reads the store on behalf of this one: the first
 * available one of its failure domain in rendezvous order. The load on the
 * store then grows with the number of failure domains instead of instances, and
 * the state that instances pass on stays within its failure domain.
 *
 * Load pattern: tens of instances that each have to learn, several times a
 * second, that nothing has changed.
 *
 * @returns null if this instance reads the store itself
 * @example
 *     chooseStoreReader({name: 'x', failureDomain: 'a', instances, isConnected});
 */
export function chooseStoreReader(options: ReaderOptions): string | null {
  const {name, failureDomain, instances, isConnected} = options;
  const local = instances.filter(
    (instance) => instance.failureDomain === failureDomain,
  );
  const names = local.map((instance) => instance.name);
  for (const candidate of orderByRendezvous('reader', names)) {
    if (candidate === name) return null;
    if (isConnected(candidate)) return candidate;
  }
  return null;
}
