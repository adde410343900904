import type {AccountWorkReport} from 'hickorywharf-types/gateway/accountWorkReport';
import type {AccountWorkFigures} from './accountWorkFigures.ts';

/**
 * Accounts that a report names. Only an account among the largest can exceed its
 * share, and each instance knows its own part of any other.
 */
const MAXIMUM_ACCOUNTS = 16;

/**
 * Turns figures into a report of bounded size: the accounts with most work by
 * name, and the sum of the others.
 *
 * @param refusalsKeptMilliseconds the age from which refusals are not told
 * @example
 *     writeAccountWork(figures, 5000).accounts.length; // at most 16
 */
export function writeAccountWork(
  figures: AccountWorkFigures,
  refusalsKeptMilliseconds: number,
): AccountWorkReport {
  const {refusedAgeMilliseconds, others} = figures;
  const sorted = Array.from(
    figures.accounts,
    ([account, {workMilliseconds, refusedMilliseconds}]) =>
      [
        account,
        Math.round(workMilliseconds),
        Math.round(refusedMilliseconds),
      ] as const,
  ).sort(
    ([, leftWork, leftRefused], [, rightWork, rightRefused]) =>
      rightWork + rightRefused - leftWork - leftRefused,
  );
  const rest = sorted.slice(MAXIMUM_ACCOUNTS);
  return {
    instances: figures.instances,
    ageMilliseconds: Math.round(figures.ageMilliseconds),
    refusedAgeMilliseconds:
      refusedAgeMilliseconds <= refusalsKeptMilliseconds
        ? Math.round(refusedAgeMilliseconds)
        : null,
    accounts: sorted.slice(0, MAXIMUM_ACCOUNTS),
    otherAccounts: others.accounts + rest.length,
    otherWorkMilliseconds: rest.reduce(
      (sum, [, work]) => sum + work,
      Math.round(others.workMilliseconds),
    ),
    otherRefusedMilliseconds: rest.reduce(
      (sum, [, , refused]) => sum + refused,
      Math.round(others.refusedMilliseconds),
    ),
  };
}
