import {getFairLevel} from './getFairLevel.ts';

interface SharedWork<Item> {
  readonly item: Item;
  /** Name of the client account; null if it is not known. */
  readonly account: string | null;
  readonly milliseconds: number;
}

interface Place {
  /** Whether the item exceeds the share of its account. */
  readonly isOver: boolean;
  /** Work of the same account before the item, in milliseconds. */
  readonly startMilliseconds: number;
}

/**
 * Places waiting work by the max-min shares of its accounts in the room that
 * there is. Within an account, the first work is within the share, at least the
 * first item. Work without an account never exceeds a share, and has its place
 * as if it were of one account. If work is served by its start, all accounts
 * get on equally, whatever they have waiting.
 *
 * Designed for queues that can't be served whole, as one account filled them:
 * what it has beyond its share waits for the work of all others.
 *
 * @param waiting in the order in which it would be served without accounts
 * @param roomMilliseconds the work that can be served in time
 * @example
 *     placeByShare(waiting, 400).get(waiting[3].item)?.isOver;
 */
export function placeByShare<Item>(
  waiting: ReadonlyArray<SharedWork<Item>>,
  roomMilliseconds: number,
): Map<Item, Place> {
  const demands = new Map<string | null, number>();
  const starts = waiting.map(({account, milliseconds}) => {
    const start = demands.get(account) ?? 0;
    demands.set(account, start + milliseconds);
    return start;
  });
  const level = getFairLevel(
    roomMilliseconds,
    Array.from(demands.values(), (milliseconds) => ({
      milliseconds,
      accounts: 1,
    })),
  );
  return new Map(
    waiting.map(({item, account, milliseconds}, index) => {
      const startMilliseconds = starts[index]!;
      const isOver =
        account !== null &&
        startMilliseconds > 0 &&
        startMilliseconds + milliseconds > level;
      return [item, {isOver, startMilliseconds}];
    }),
  );
}
