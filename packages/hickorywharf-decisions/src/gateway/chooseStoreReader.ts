import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';

interface ReaderOptions {
  readonly name: string;
  readonly failureDomain: string;
  readonly instances: ReadonlyArray<{
    readonly name: string;
    readonly failureDomain: string;
  }>;
  /** Whether an instance answers now. */
  isUp(name: string): boolean;
}

/**
 * The instance that reads the store for this one: the first of its failure
 * domain that is up. Calls to the store then grow with the number of failure
 * domains, and what an instance is told does not cross them.
 *
 * Load pattern: tens of instances that all need to know, several times a
 * second, that nothing has changed.
 *
 * @returns null where this instance reads the store itself
 * @example
 *     chooseStoreReader({name: 'x', failureDomain: 'a', instances, isUp});
 */
export function chooseStoreReader(options: ReaderOptions): string | null {
  const {name, failureDomain, instances, isUp} = options;
  const near = instances.filter(
    (instance) => instance.failureDomain === failureDomain,
  );
  const names = near.map((instance) => instance.name);
  for (const candidate of orderByRendezvous('reader', names)) {
    if (candidate === name) return null;
    if (isUp(candidate)) return candidate;
  }
  return null;
}
