import type {AccountWorkFigures} from './accountWorkFigures.ts';

/**
 * Sums up the figures of several instances.
 *
 * @param list at least one
 * @param included figures that the list has twice, and that count once
 * @example
 *     mergeAccountWork([own, peer]).instances; // 2
 */
export function mergeAccountWork(
  list: readonly AccountWorkFigures[],
  included: AccountWorkFigures | null = null,
): AccountWorkFigures {
  const accounts = new Map<
    string,
    {workMilliseconds: number; refusedMilliseconds: number}
  >();
  for (const figures of list) {
    for (const [account, figure] of figures.accounts) {
      const sum = accounts.get(account);
      if (sum === undefined) accounts.set(account, {...figure});
      else {
        sum.workMilliseconds += figure.workMilliseconds;
        sum.refusedMilliseconds += figure.refusedMilliseconds;
      }
    }
  }
  for (const [account, figure] of included?.accounts ?? []) {
    const sum = accounts.get(account);
    // An account that is not named in the sum is a part of the others there.
    if (sum === undefined) continue;
    sum.workMilliseconds = Math.max(
      0,
      sum.workMilliseconds - figure.workMilliseconds,
    );
    sum.refusedMilliseconds = Math.max(
      0,
      sum.refusedMilliseconds - figure.refusedMilliseconds,
    );
  }
  const add = (get: (figures: AccountWorkFigures) => number): number =>
    list.reduce((sum, figures) => sum + get(figures), 0);
  return {
    instances: add(({instances}) => instances) - (included === null ? 0 : 1),
    ageMilliseconds: Math.max(
      ...list.map(({ageMilliseconds}) => ageMilliseconds),
    ),
    refusedAgeMilliseconds: Math.min(
      ...list.map(({refusedAgeMilliseconds}) => refusedAgeMilliseconds),
    ),
    accounts,
    others: {
      // Instances mostly leave out the same accounts.
      accounts: Math.max(...list.map(({others}) => others.accounts)),
      workMilliseconds: add(({others}) => others.workMilliseconds),
      refusedMilliseconds: add(({others}) => others.refusedMilliseconds),
    },
  };
}
