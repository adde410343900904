import type {AccountWorkReport} from 'hickorywharf-types/gateway/accountWorkReport';
import type {AccountWorkFigures} from './accountWorkFigures.ts';

/**
 * Accounts that a report names. Only an account among the largest can exceed its
 * share, and its own instance knows any other exactly.
 */
const MAXIMUM_ACCOUNTS = 24;

/**
 * Turns figures into a report of bounded size: the accounts with most work by
 * name, and the sum of the others.
 *
 * @param refusalsKeptMilliseconds the age from which refusals are not told
 * @example
 *     writeAccountWork(figures, 5000).accounts.length; // at most 24
 */
export function writeAccountWork(
  figures: AccountWorkFigures,
  refusalsKeptMilliseconds: number,
): AccountWorkReport {
  const {refusedAgeMilliseconds, others} = figures;
  const sorted = Array.from(figures.accounts, ([account, figure]) => ({
    account,
    workMilliseconds: Math.round(figure.workMilliseconds),
    refusedMilliseconds: Math.round(figure.refusedMilliseconds),
  })).sort(
    (left, right) =>
      right.workMilliseconds +
      right.refusedMilliseconds -
      left.workMilliseconds -
      left.refusedMilliseconds,
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
      (sum, {workMilliseconds}) => sum + workMilliseconds,
      Math.round(others.workMilliseconds),
    ),
    otherRefusedMilliseconds: rest.reduce(
      (sum, {refusedMilliseconds}) => sum + refusedMilliseconds,
      Math.round(others.refusedMilliseconds),
    ),
  };
}
