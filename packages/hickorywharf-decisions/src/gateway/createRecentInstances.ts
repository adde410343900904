interface ListedInstance {
  readonly name: string;
  /** In cores. */
  readonly capacity: number;
}

interface InstanceList {
  readonly instances: readonly ListedInstance[];
  /** When another list replaced this one; Infinity for the newest. */
  replacedAt: number;
}

/** Every `now` is in monotonic milliseconds. */
interface RecentInstances {
  /** Records a complete list, also one that is the same as before. */
  record(instances: readonly ListedInstance[], now: number): void;
  /**
   * All instances of the lists of the period until now, sorted by name; empty
   * until lists have been recorded for that long. The same array is returned
   * as long as its content stays the same.
   */
  list(now: number): readonly ListedInstance[];
}

const sortByName = (instances: Iterable<ListedInstance>): ListedInstance[] =>
  [...instances].sort((left, right) => (left.name < right.name ? -1 : 1));

const isSameList = (
  left: readonly ListedInstance[],
  right: readonly ListedInstance[],
): boolean =>
  left.length === right.length &&
  left.every(
    ({name, capacity}, index) =>
      name === right[index]!.name && capacity === right[index]!.capacity,
  );

/**
 * Tracks the instances that were listed within a period. While instances come
 * and go, the lists of two instances differ for a while. If each divides a
 * limit among the instances of its recent lists, and a new instance waits for a
 * period, an instance that leaves is counted until the others have noticed, and
 * one that joins before it uses its share.
 *
 * @param periodMilliseconds longer than the lists of two instances may differ
 * @example
 *     const recent = createRecentInstances(4000);
 *     recent.record([{name: 'front-1', capacity: 0.5}], 0);
 *     recent.list(5000); // [{name: 'front-1', capacity: 0.5}]
 */
export function createRecentInstances(
  periodMilliseconds: number,
): RecentInstances {
  let lists: InstanceList[] = [];
  let firstAt = Infinity;
  let union: readonly ListedInstance[] = [];

  return {
    record(instances, now) {
      firstAt = Math.min(firstAt, now);
      const newest = lists.at(-1);
      const sorted = sortByName(instances);
      if (newest !== undefined) {
        if (isSameList(newest.instances, sorted)) return;
        newest.replacedAt = now;
      }
      lists.push({instances: sorted, replacedAt: Infinity});
    },
    list(now) {
      if (now - firstAt < periodMilliseconds) return [];
      lists = lists.filter(
        ({replacedAt}) => now - replacedAt < periodMilliseconds,
      );
      const byName = new Map(
        lists.flatMap(({instances}) =>
          instances.map((instance) => [instance.name, instance] as const),
        ),
      );
      const next = sortByName(byName.values());
      if (!isSameList(union, next)) union = next;
      return union;
    },
  };
}
