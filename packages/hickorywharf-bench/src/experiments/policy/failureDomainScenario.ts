import {loadMixes} from '../../load/loadMixes.ts';
import {summarizeLoad} from '../../load/summarizeLoad.ts';
import {getPhase} from './getPhase.ts';
import {getRecoverySeconds} from './getRecoverySeconds.ts';
import type {Scenario} from './scenario.ts';
import {userTargets} from './userTargets.ts';

const WARM_UP_SECONDS = 4;
const BEFORE_SECONDS = 5;
const FAILED_SECONDS = 10;
const MILLISECONDS_PER_SECOND = 1000;
const FAILURE_AT_MILLISECONDS =
  (WARM_UP_SECONDS + BEFORE_SECONDS) * MILLISECONDS_PER_SECOND;
const RESTART_AT_MILLISECONDS =
  FAILURE_AT_MILLISECONDS + FAILED_SECONDS * MILLISECONDS_PER_SECOND;
const CAPACITY_SHARE = 0.45;

type Deployment = Parameters<
  NonNullable<Scenario['faults']>[number]['apply']
>[0];

/** Endpoints of the second failure domain; the plan assigns it by index. */
function getFailedEndpoints({plan}: Deployment): string[] {
  const names = [...plan.entries, ...plan.endpoints.map(({name}) => name)];
  return names.filter(
    (name, index) =>
      index % plan.failureDomains.length === 1 && !plan.entries.includes(name),
  );
}

/** All endpoint processes of a failure domain are killed, then restarted. */
export const failureDomainScenario: Scenario = {
  name: 'failure-domain',
  summary: 'a third of the endpoint processes dies and comes back, Authority',
  deployment: 'authority',
  policies: ['chosen', 'noAdmission', 'random', 'roundRobin'],
  mix: loadMixes.authority,
  phases: [
    {seconds: WARM_UP_SECONDS, capacityShare: CAPACITY_SHARE},
    {seconds: BEFORE_SECONDS, capacityShare: CAPACITY_SHARE},
    {seconds: FAILED_SECONDS, capacityShare: CAPACITY_SHARE},
    {seconds: 8, capacityShare: CAPACITY_SHARE},
  ],
  faults: [
    {
      atMilliseconds: FAILURE_AT_MILLISECONDS,
      async apply(deployment) {
        for (const name of getFailedEndpoints(deployment)) {
          deployment.processes.get(name)!.signal('SIGKILL');
        }
      },
    },
    {
      atMilliseconds: RESTART_AT_MILLISECONDS,
      async apply(deployment) {
        await Promise.all(getFailedEndpoints(deployment).map(deployment.start));
      },
    },
  ],
  workTargets: {'extra attempts': userTargets.extraAttempts},
  getFigures({records}) {
    const idempotent = records.filter(
      ({call}) => call.pipeline !== 'toy-checkout',
    );
    const targetAttainment = userTargets.attainment.atLeast;
    return [
      {
        name: 'recovery after the failure',
        value: getRecoverySeconds(
          idempotent.filter(
            ({call}) => call.atMilliseconds < RESTART_AT_MILLISECONDS,
          ),
          FAILURE_AT_MILLISECONDS,
          targetAttainment,
        ),
        unit: 'seconds',
        target: userTargets.recoverySeconds,
      },
      {
        name: 'recovery after the return',
        value: getRecoverySeconds(
          idempotent,
          RESTART_AT_MILLISECONDS,
          targetAttainment,
        ),
        unit: 'seconds',
        target: userTargets.recoverySeconds,
      },
      ...summarizeLoad(getPhase(idempotent, 2), 'failed '),
      ...summarizeLoad(getPhase(idempotent, 3), 'returned '),
    ];
  },
};
