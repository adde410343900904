import {loadMixes} from '../../load/loadMixes.ts';
import {summarizeLoad} from '../../load/summarizeLoad.ts';
import {getPhase} from './getPhase.ts';
import {getRecoverySeconds} from './getRecoverySeconds.ts';
import type {Scenario} from './scenario.ts';
import {userTargets} from './userTargets.ts';

const WARM_UP_SECONDS = 4;
const BEFORE_SECONDS = 5;
const FAILED_SECONDS = 10;
const MILLISECONDS = 1000;
const FAILURE_AT = (WARM_UP_SECONDS + BEFORE_SECONDS) * MILLISECONDS;
const RETURN_AT = FAILURE_AT + FAILED_SECONDS * MILLISECONDS;
const SHARE = 0.45;

type Deployment = Parameters<
  NonNullable<Scenario['faults']>[number]['apply']
>[0];

/** Endpoints of the second failure domain, by their place in the plan. */
function getLost({plan}: Deployment): string[] {
  const names = [...plan.entries, ...plan.endpoints.map(({name}) => name)];
  return names.filter(
    (name, index) =>
      index % plan.failureDomains.length === 1 && !plan.entries.includes(name),
  );
}

/** All endpoint processes of a failure domain die, and come back later. */
export const failureDomainScenario: Scenario = {
  name: 'failure-domain',
  summary: 'a third of the endpoint processes dies and comes back, Authority',
  deployment: 'authority',
  policies: ['chosen', 'noAdmission', 'random', 'roundRobin'],
  mix: loadMixes.authority,
  phases: [
    {seconds: WARM_UP_SECONDS, capacityShare: SHARE},
    {seconds: BEFORE_SECONDS, capacityShare: SHARE},
    {seconds: FAILED_SECONDS, capacityShare: SHARE},
    {seconds: 8, capacityShare: SHARE},
  ],
  faults: [
    {
      atMilliseconds: FAILURE_AT,
      async apply(deployment) {
        for (const name of getLost(deployment)) {
          deployment.processes.get(name)!.signal('SIGKILL');
        }
      },
    },
    {
      atMilliseconds: RETURN_AT,
      async apply(deployment) {
        await Promise.all(getLost(deployment).map(deployment.start));
      },
    },
  ],
  getFigures({records}) {
    const idempotent = records.filter(
      ({call}) => call.pipeline !== 'toy-checkout',
    );
    const wanted = userTargets.attainment.atLeast;
    return [
      {
        name: 'recovery after the failure',
        value: getRecoverySeconds(
          idempotent.filter(({call}) => call.atMilliseconds < RETURN_AT),
          FAILURE_AT,
          wanted,
        ),
        unit: 'seconds',
        target: userTargets.recoverySeconds,
      },
      {
        name: 'recovery after the return',
        value: getRecoverySeconds(idempotent, RETURN_AT, wanted),
        unit: 'seconds',
        target: userTargets.recoverySeconds,
      },
      ...summarizeLoad(getPhase(idempotent, 2), 'failed '),
      ...summarizeLoad(getPhase(idempotent, 3), 'returned '),
    ];
  },
};
