import {isWaitOverdue} from './isWaitOverdue.ts';

interface StopFacts {
  /** Time until the instance ends its calls; Infinity unless it stops. */
  readonly graceLeftMilliseconds: number;
  /** Time left until the deadline of the call. */
  readonly timeLeftMilliseconds: number;
  /** Whether the call arrived after the stop had begun. */
  readonly isNew: boolean;
  /** Whether calls of the same route wait for longer than was forecast. */
  readonly isRouteOverdue: boolean;
  /** How long the call has waited for what it needs before it can be sent. */
  readonly waitedMilliseconds: number;
  /** Forecast of that wait when it began. */
  readonly expectedWaitMilliseconds: number;
  /** Usual time from the send of the call to the end of its response. */
  readonly responseMilliseconds: number;
}

/** How much longer a wait is expected to last, by how long it is overdue. */
const OVERDUE_SHARE = 0.25;

/**
 * Decides whether a call that was not sent yet may go on at an instance that
 * stops. It may if its response should be whole before the instance ends, or if
 * its deadline passes before that. A wait that is overdue is expected to last for
 * a share of the time by which it is overdue. A call that arrived in the stop may
 * wait only while forecasts hold: nothing was done for it yet, and the calls
 * before it get on faster without it.
 *
 * Designed for stops beside slow stages: a call that can't finish here is
 * refused while its caller still has time for another instance.
 *
 * @example
 *     canFinishBeforeStop({
 *       graceLeftMilliseconds: 1900,
 *       timeLeftMilliseconds: 9000,
 *       isNew: false,
 *       isRouteOverdue: true,
 *       waitedMilliseconds: 4800,
 *       expectedWaitMilliseconds: 400,
 *       responseMilliseconds: 900,
 *     }); // false: 1100 ms of wait and 900 ms for the response
 */
export function canFinishBeforeStop(facts: StopFacts): boolean {
  const {graceLeftMilliseconds, timeLeftMilliseconds} = facts;
  const {waitedMilliseconds, expectedWaitMilliseconds} = facts;
  if (timeLeftMilliseconds <= graceLeftMilliseconds) return true;
  const isOverdue = isWaitOverdue(waitedMilliseconds, expectedWaitMilliseconds);
  if (facts.isNew && (facts.isRouteOverdue || isOverdue)) return false;
  const overdueMilliseconds = waitedMilliseconds - expectedWaitMilliseconds;
  const waitMilliseconds =
    overdueMilliseconds > 0
      ? overdueMilliseconds * OVERDUE_SHARE
      : -overdueMilliseconds;
  return waitMilliseconds + facts.responseMilliseconds <= graceLeftMilliseconds;
}
