import type {storeStandIn} from './storeStandIn.ts';

type StoreCalls = Awaited<ReturnType<typeof storeStandIn.getCalls>>;

/**
 * All calls on the store between two counts; a waiting watch is one call.
 *
 * @example
 *     countCalls(before, after);
 */
export function countCalls(before: StoreCalls, after: StoreCalls): number {
  const sum = ({get, list, write, watch, lease, refused}: StoreCalls) =>
    get + list + write + watch + lease + refused;
  return sum(after) - sum(before);
}
