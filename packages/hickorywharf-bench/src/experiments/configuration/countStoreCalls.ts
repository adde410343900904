import type {storeStandIn} from './storeStandIn.ts';

type StoreCalls = Awaited<ReturnType<typeof storeStandIn.getCalls>>;

/**
 * Returns the store calls between two readings of its counters; a pending watch
 * counts as one call.
 *
 * @example
 *     countStoreCalls(before, after);
 */
export function countStoreCalls(before: StoreCalls, after: StoreCalls): number {
  const sum = ({get, list, write, watch, lease, refused}: StoreCalls) =>
    get + list + write + watch + lease + refused;
  return sum(after) - sum(before);
}
