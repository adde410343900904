import path from 'node:path';
import {sleep} from 'hickorywharf-utils/sleep';
import {startDeployment} from '../../deployment/startDeployment.ts';
import {createSchedule} from '../../load/createSchedule.ts';
import {fetchWork} from '../../load/fetchWork.ts';
import {runLoad} from '../../load/runLoad.ts';
import type {Experiment} from '../experiment.ts';
import type {ExperimentReport} from '../experimentReport.ts';
import {createExperimentPlan} from './createExperimentPlan.ts';
import {createSeries} from './createSeries.ts';
import {createWorkFigures} from './createWorkFigures.ts';
import {getCapacity} from './getCapacity.ts';
import {getProcessorSeconds} from './getProcessorSeconds.ts';
import {policySets} from './policySets.ts';
import type {Scenario} from './scenario.ts';
import {standInCosts} from './standInCosts.ts';
import {withTargets} from './withTargets.ts';

type Options = Parameters<Experiment['run']>[0];
type Run = ExperimentReport['runs'][number];
type Deployment = Awaited<ReturnType<typeof startDeployment>>;

const STAND_IN_PROCESSES = 3;
/** Deployments that run concurrently; the test machine has capacity for two. */
const CONCURRENT_RUNS = 2;
const SETTLE_MILLISECONDS = 700;
const QUIET_SETTINGS = {history: {file: ''}, logs: {level: 'error'}};

async function startForPolicy(
  scenario: Scenario,
  policy: keyof typeof policySets,
  directory: string,
  program: string,
): Promise<Deployment> {
  const {accounts = {}, accountLimits = {}} = scenario;
  const names = Object.keys(accounts);
  const limits = Object.fromEntries(
    names.map((name) => [name, accountLimits[name] ?? 0]),
  );
  const plan = createExperimentPlan(scenario.deployment, limits);
  const pools = new Map(plan.endpoints.map(({name, pool}) => [name, pool]));
  const set = policySets[policy];
  const deployment = await startDeployment({
    plan,
    program,
    directory,
    standInProcesses: STAND_IN_PROCESSES,
    getSettings: (name) => ({
      ...QUIET_SETTINGS,
      ...(plan.entries.includes(name) ? set.entry : set.endpoint),
    }),
    getStandIn: (name) =>
      standInCosts[pools.get(name) as keyof typeof standInCosts],
  });
  const code = await deployment.apply(new Set());
  if (code !== 0) throw new Error(`apply exited with code ${code}`);
  await deployment.waitUntilReady();
  await sleep(SETTLE_MILLISECONDS);
  return deployment;
}

async function injectFaults(
  scenario: Scenario,
  deployment: Deployment,
): Promise<void> {
  const startedAt = performance.now();
  for (const fault of scenario.faults ?? []) {
    const delay = startedAt + fault.atMilliseconds - performance.now();
    if (delay > 0) await sleep(delay);
    await fault.apply(deployment);
  }
}

async function measure(
  scenario: Scenario,
  policy: keyof typeof policySets,
  seed: number,
  deployment: Deployment,
  options: Options,
): Promise<Run> {
  const {mix, accounts = {default: 1}} = scenario;
  const engines = deployment.plan.endpoints.filter(
    ({pool}) => pool === 'engines',
  ).length;
  const capacity = getCapacity(mix, engines);
  const phases = scenario.phases.map(({capacityShare, ...phase}) => ({
    ...phase,
    ratePerSecond: capacity * capacityShare,
  }));
  const schedule = createSchedule({seed, phases, mix, accounts});
  const before = getProcessorSeconds(deployment);
  const startedAt = performance.now();
  const [records] = await Promise.all([
    runLoad({
      deployment,
      schedule,
      onProgress: (line) =>
        options.print(`${scenario.name} ${policy} seed ${seed}: ${line}`),
    }),
    injectFaults(scenario, deployment),
  ]);
  const seconds = (performance.now() - startedAt) / 1000;
  const after = getProcessorSeconds(deployment);
  const work = await fetchWork(deployment.backendUrls.values());
  // The measurement is complete, so no graceful shutdown is needed.
  for (const started of deployment.processes.values()) {
    started.signal('SIGKILL');
  }
  await deployment.stop();
  const busiest = Math.max(
    ...[...after].map(([name, value]) => value - (before.get(name) ?? 0)),
  );
  return {
    policy,
    seed,
    figures: [
      ...scenario.getFigures({records, work}),
      ...withTargets(
        createWorkFigures(work, records),
        scenario.workTargets ?? {},
      ),
      {
        name: 'processor of the busiest process',
        value: busiest / seconds,
        unit: 'cores',
        target: null,
      },
    ],
    series: createSeries(records),
  };
}

function printRun(run: Run, print: Options['print']): void {
  for (const {name, value, unit} of run.figures) {
    print(`  ${run.policy.padEnd(16)} ${name}: ${value.toFixed(3)} ${unit}`);
  }
}

/**
 * Creates an experiment from a scenario. For each seed, every policy of the
 * scenario runs under the same schedule.
 *
 * @example
 *     runScenario(steadyScenario).run({seeds: [1], program, directory, print});
 */
export function runScenario(scenario: Scenario): Experiment {
  return {
    summary: scenario.summary,
    async run(options) {
      const runs: Run[] = [];
      const pending = options.seeds.flatMap((seed) =>
        scenario.policies.map((policy) => ({seed, policy})),
      );
      while (pending.length > 0) {
        const batch = pending.splice(0, CONCURRENT_RUNS);
        const deployments: Deployment[] = [];
        // Sequential: a free port is not reserved until its process binds it.
        for (const {seed, policy} of batch) {
          const directory = path.join(options.directory, `${policy}-${seed}`);
          deployments.push(
            await startForPolicy(scenario, policy, directory, options.program),
          );
        }
        const finished = await Promise.all(
          batch.map(({seed, policy}, index) =>
            measure(scenario, policy, seed, deployments[index]!, options),
          ),
        );
        runs.push(...finished);
        for (const run of finished) printRun(run, options.print);
      }
      return {experiment: scenario.name, seeds: options.seeds, runs};
    },
  };
}
