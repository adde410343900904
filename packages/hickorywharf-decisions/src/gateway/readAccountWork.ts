import type {AccountWorkReport} from 'hickorywharf-types/gateway/accountWorkReport';
import type {AccountWorkFigures} from './accountWorkFigures.ts';

/** More accounts of a report are not read; a sound report has fewer. */
const MAXIMUM_ACCOUNTS = 64;
/** No instance has more work, or knows of older figures. */
const MAXIMUM_FIGURE = 1e9;

/** Figures that can't be right count as 0, and those too large as the largest. */
function toFigure(value: unknown): number {
  if (typeof value !== 'number' || !(value > 0)) return 0;
  return Math.min(value, MAXIMUM_FIGURE);
}

/**
 * Reads the report of a peer, whatever its figures are.
 *
 * @example
 *     readAccountWork(report).accounts.get('farm-1')?.workMilliseconds; // 420
 */
export function readAccountWork(report: AccountWorkReport): AccountWorkFigures {
  const {refusedAgeMilliseconds: refusedAge} = report;
  return {
    instances: Math.max(1, toFigure(report.instances)),
    ageMilliseconds: toFigure(report.ageMilliseconds),
    refusedAgeMilliseconds:
      typeof refusedAge === 'number' && refusedAge >= 0 ? refusedAge : Infinity,
    accounts: new Map(
      report.accounts
        .slice(0, MAXIMUM_ACCOUNTS)
        .map(([account, work, refused]) => [
          account,
          {
            workMilliseconds: toFigure(work),
            refusedMilliseconds: toFigure(refused),
          },
        ]),
    ),
    others: {
      accounts: toFigure(report.otherAccounts),
      workMilliseconds: toFigure(report.otherWorkMilliseconds),
      refusedMilliseconds: toFigure(report.otherRefusedMilliseconds),
    },
  };
}
