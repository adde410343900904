import type {HistoryCheck} from './historyCheck.ts';
import {checkActionsRunOnce} from './checks/checkActionsRunOnce.ts';
import {checkActivationTime} from './checks/checkActivationTime.ts';
import {checkAnsweredActionsRan} from './checks/checkAnsweredActionsRan.ts';
import {checkDeadlines} from './checks/checkDeadlines.ts';
import {checkLeavingEndpoints} from './checks/checkLeavingEndpoints.ts';
import {checkNeverReverts} from './checks/checkNeverReverts.ts';
import {checkNotRun} from './checks/checkNotRun.ts';
import {checkOrders} from './checks/checkOrders.ts';
import {checkOutcomes} from './checks/checkOutcomes.ts';
import {checkPlannedStops} from './checks/checkPlannedStops.ts';
import {checkProcesses} from './checks/checkProcesses.ts';
import {checkRequestsFinish} from './checks/checkRequestsFinish.ts';
import {checkResponseContent} from './checks/checkResponseContent.ts';
import {checkTokens} from './checks/checkTokens.ts';

/** The checks of a history, by the name of the guarantee that they verify. */
export const historyChecks = {
  'one outcome': checkOutcomes,
  'own and whole answer': checkResponseContent,
  'no token missing or repeated': checkTokens,
  'an accepted request ends': checkRequestsFinish,
  'outcome within the deadline': checkDeadlines,
  'at most once': checkActionsRunOnce,
  'an answered action ran': checkAnsweredActionsRan,
  '"not run" is true': checkNotRun,
  'no new work for a leaving endpoint': checkLeavingEndpoints,
  'configuration never reverts': checkNeverReverts,
  'accepted configuration is in force within 3 s': checkActivationTime,
  'orders of the newest holder only': checkOrders,
  'a planned stop cuts no work': checkPlannedStops,
  'no process ends by itself': checkProcesses,
} as const satisfies Readonly<Record<string, HistoryCheck>>;
