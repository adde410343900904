import path from 'node:path';
import type {startDeployment} from '../../deployment/startDeployment.ts';
import {runTraffic} from '../../demo/runTraffic.ts';
import {loadHistory} from '../../loadHistory.ts';
import {sleep} from 'hickorywharf-utils/sleep';
import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import {applyStep} from './applyStep.ts';
import {createSplitSteps} from './createSplitSteps.ts';
import {raceOperators} from './raceOperators.ts';
import {splitPlan} from './splitPlan.ts';
import {startWithOperators} from './startWithOperators.ts';
import {storeStandIn} from './storeStandIn.ts';
import {waitForSequence} from './waitForSequence.ts';

type Deployment = Awaited<ReturnType<typeof startDeployment>>;
type AppliedStep = Awaited<ReturnType<typeof applyStep>>;
type Race = Awaited<ReturnType<typeof raceOperators>>;

interface RunSplitOptions {
  readonly rollout: 'allAtOnce' | 'endpointByEndpoint';
  readonly seed: number;
  readonly program: string;
  readonly directory: string;
}

/** Observations of one run, to be evaluated. */
interface SplitRun {
  readonly events: readonly HistoryEvent[];
  readonly steps: readonly AppliedStep[];
  readonly race: Race;
  /** Wall times that delimit the phases before, during and after the split. */
  readonly splitFrom: number;
  readonly splitUntil: number;
  readonly end: number;
  /** Processes that were not killed. */
  readonly survivors: readonly string[];
}

const CALLERS_PER_HALF = 4;
const PHASE_MILLISECONDS = 5000;
const STEP_SPACING_MILLISECONDS = 300;
const PAUSE_MILLISECONDS = 1500;
const OUTAGE_MILLISECONDS = 4000;
const RACING_OPERATORS = 4;
const SEQUENCE_TIMEOUT_MILLISECONDS = 20_000;
const PAUSED_ENTRY = 'entry-1';
const KILLED_ENTRY = 'entry-2';

/** Pauses one entry, so that it stays on the older revision meanwhile. */
async function pauseEntry(deployment: Deployment): Promise<void> {
  deployment.pause(PAUSED_ENTRY);
  await sleep(PAUSE_MILLISECONDS);
  deployment.resume(PAUSED_ENTRY);
}

async function causeStoreOutage(storeUrl: string): Promise<void> {
  await storeStandIn.setFaults(storeUrl, {unavailable: true});
  await sleep(OUTAGE_MILLISECONDS);
  await storeStandIn.setFaults(storeUrl, {unavailable: false});
}

async function killEntry(
  deployment: Deployment,
  entries: string[],
): Promise<void> {
  await deployment.kill(KILLED_ENTRY);
  entries.splice(entries.indexOf(KILLED_ENTRY), 1);
  await deployment.list(KILLED_ENTRY, false);
}

async function applySteps(
  deployment: Deployment,
  rollout: RunSplitOptions['rollout'],
): Promise<AppliedStep[]> {
  const {storeUrl} = deployment;
  const steps = createSplitSteps[rollout]();
  const middle = Math.floor(steps.length / 2);
  const applied: AppliedStep[] = [];
  let outage: Promise<void> | null = null;
  for (const [index, changes] of steps.entries()) {
    if (index === middle) {
      // This change is attempted in the outage and retried until accepted.
      outage = causeStoreOutage(storeUrl);
    }
    applied.push(await applyStep(storeUrl, changes));
    await sleep(STEP_SPACING_MILLISECONDS);
  }
  await outage;
  return applied;
}

function startTraffic(
  deployment: Deployment,
  seed: number,
  entries: readonly string[],
  signal: AbortSignal,
): Promise<unknown> {
  const halves = Object.entries(splitPlan.halves);
  return Promise.all(
    halves.map(([half, {accountKey}], index) =>
      runTraffic({
        deployment: {
          ...deployment,
          plan: {...deployment.plan, name: half, accountKey},
        },
        seed: seed * halves.length + index,
        callers: CALLERS_PER_HALF,
        signal,
        getEntries: () => entries,
      }),
    ),
  );
}

/**
 * Splits a running deployment under load. Meanwhile an entry is paused on the
 * older revision, and the store becomes unavailable at the middle step.
 * Afterwards operators race to change one record and an entry is killed.
 *
 * @example
 *     await runSplit({rollout: 'allAtOnce', seed: 1, program, directory});
 */
export async function runSplit(options: RunSplitOptions): Promise<SplitRun> {
  const {rollout, seed, program} = options;
  const {deployment, operatorsUrls} = await startWithOperators({
    plan: splitPlan.deployment,
    program,
    directory: path.join(options.directory, `${seed}-${rollout}`),
  });
  const {storeUrl} = deployment;
  const first = await applyStep(storeUrl, createSplitSteps.beforeSplit());
  const urls = [...operatorsUrls.values()];
  await waitForSequence(urls, first.sequence, SEQUENCE_TIMEOUT_MILLISECONDS);
  const entries = [...splitPlan.deployment.entries];
  const stopTraffic = new AbortController();
  const traffic = startTraffic(deployment, seed, entries, stopTraffic.signal);
  await sleep(PHASE_MILLISECONDS);
  const splitFrom = Date.now();
  const paused = pauseEntry(deployment);
  const steps = await applySteps(deployment, rollout);
  await paused;
  const race = await raceOperators(storeUrl, RACING_OPERATORS);
  await sleep(PHASE_MILLISECONDS / 2);
  await killEntry(deployment, entries);
  const splitUntil = Date.now();
  await sleep(PHASE_MILLISECONDS);
  const end = Date.now();
  stopTraffic.abort();
  await traffic;
  await deployment.stop();
  return {
    events: loadHistory(deployment.historyFile)._unsafeUnwrap(),
    steps,
    race,
    splitFrom,
    splitUntil,
    end,
    survivors: [...deployment.processes.keys()].filter(
      (name) => name !== KILLED_ENTRY,
    ),
  };
}
