import {hashNumber} from 'hickorywharf-utils/hashNumber';

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
 *     chooseReader({name: 'x', failureDomain: 'a', instances, isUp});
 */
export function chooseReader(options: ReaderOptions): string | null {
  const {name, failureDomain, instances, isUp} = options;
  const ordered = instances
    .filter((instance) => instance.failureDomain === failureDomain)
    .map((instance) => ({
      name: instance.name,
      weight: hashNumber(`reader/${instance.name}`),
    }))
    .sort(
      (left, right) =>
        left.weight - right.weight || (left.name < right.name ? -1 : 1),
    );
  for (const candidate of ordered) {
    if (candidate.name === name) return null;
    if (isUp(candidate.name)) return candidate.name;
  }
  return null;
}
