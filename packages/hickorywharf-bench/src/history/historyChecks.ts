import type {HistoryCheck} from './historyCheck.ts';
import {checkActionsAnswered} from './checks/checkActionsAnswered.ts';
import {checkActionsRunOnce} from './checks/checkActionsRunOnce.ts';
import {checkAnswers} from './checks/checkAnswers.ts';
import {checkDeadlines} from './checks/checkDeadlines.ts';
import {checkInForce} from './checks/checkInForce.ts';
import {checkLeaving} from './checks/checkLeaving.ts';
import {checkNeverReverts} from './checks/checkNeverReverts.ts';
import {checkNotRun} from './checks/checkNotRun.ts';
import {checkOrders} from './checks/checkOrders.ts';
import {checkOutcomes} from './checks/checkOutcomes.ts';
import {checkPlannedStops} from './checks/checkPlannedStops.ts';
import {checkProcesses} from './checks/checkProcesses.ts';
import {checkRequestsFinish} from './checks/checkRequestsFinish.ts';
import {checkTokens} from './checks/checkTokens.ts';

/** The checks of a history, by the promise that each verifies. */
export const historyChecks = {
  'one outcome': checkOutcomes,
  'own and whole answer': checkAnswers,
  'no token missing or repeated': checkTokens,
  'an accepted request ends': checkRequestsFinish,
  'outcome within the deadline': checkDeadlines,
  'at most once': checkActionsRunOnce,
  'an answered action ran': checkActionsAnswered,
  '"not run" is true': checkNotRun,
  'no new work for a leaving endpoint': checkLeaving,
  'configuration never reverts': checkNeverReverts,
  'accepted configuration is in force within 3 s': checkInForce,
  'orders of the newest holder only': checkOrders,
  'a planned stop cuts no work': checkPlannedStops,
  'no process ends by itself': checkProcesses,
} as const satisfies Readonly<Record<string, HistoryCheck>>;
