interface Demand {
  /** The demand of each of the accounts, in milliseconds of work. */
  readonly milliseconds: number;
  /** Number of accounts with this demand. */
  readonly accounts: number;
}

/**
 * Divides room among accounts by max-min fairness: an account with less demand
 * than the level gets all of it, and what it leaves is lent to the others, each
 * of which gets as much as the level. Infinity if the room serves all demand.
 *
 * Designed for a burst of one account beside steady demand of many: the burst
 * alone exceeds the level.
 *
 * @param roomMilliseconds the work that there is room for
 * @returns the level in milliseconds of work
 * @example
 *     const demands = [{milliseconds: 900, accounts: 1}, {milliseconds: 50, accounts: 4}];
 *     getFairLevel(500, demands); // 300
 */
export function getFairLevel(
  roomMilliseconds: number,
  demands: readonly Demand[],
): number {
  const ascending = [...demands].sort(
    (left, right) => left.milliseconds - right.milliseconds,
  );
  let room = Math.max(0, roomMilliseconds);
  let accounts = ascending.reduce((sum, demand) => sum + demand.accounts, 0);
  for (const demand of ascending) {
    if (demand.milliseconds * accounts > room) return room / accounts;
    room -= demand.milliseconds * demand.accounts;
    accounts -= demand.accounts;
  }
  return Infinity;
}
