import {getFairLevel} from './getFairLevel.ts';

interface SharedWork<Item> {
  readonly item: Item;
  /** Name of the client account; null if it is not known. */
  readonly account: string | null;
  readonly milliseconds: number;
}

/**
 * Finds the waiting work that exceeds the max-min share of its account in the
 * room that there is. Within an account, the first work is within the share, at
 * least the first item. Work without an account never exceeds a share.
 *
 * Designed for queues that can't be served whole, as one account filled them:
 * what it has beyond its share waits for the work of all others.
 *
 * @param waiting in the order in which it would be served
 * @param roomMilliseconds the work that can be served in time
 * @example
 *     findOverShare(waiting, 400).has(waiting[3].item);
 */
export function findOverShare<Item>(
  waiting: ReadonlyArray<SharedWork<Item>>,
  roomMilliseconds: number,
): Set<Item> {
  const demands = new Map<string | null, number>();
  for (const {account, milliseconds} of waiting) {
    demands.set(account, (demands.get(account) ?? 0) + milliseconds);
  }
  const level = getFairLevel(
    roomMilliseconds,
    Array.from(demands.values(), (milliseconds) => ({
      milliseconds,
      accounts: 1,
    })),
  );
  const over = new Set<Item>();
  const used = new Map<string, number>();
  for (const {item, account, milliseconds} of waiting) {
    if (account === null) continue;
    const before = used.get(account) ?? 0;
    if (before > 0 && before + milliseconds > level) over.add(item);
    used.set(account, before + milliseconds);
  }
  return over;
}
