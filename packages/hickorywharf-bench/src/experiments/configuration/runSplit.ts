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
type Applied = Awaited<ReturnType<typeof applyStep>>;
type Race = Awaited<ReturnType<typeof raceOperators>>;

interface RunSplitOptions {
  readonly manner: 'allAtOnce' | 'endpointByEndpoint';
  readonly seed: number;
  readonly program: string;
  readonly directory: string;
}

/** What a run of the split left to be judged. */
interface SplitRun {
  readonly events: readonly HistoryEvent[];
  readonly steps: readonly Applied[];
  readonly race: Race;
  /** Wall times: before, during and after the split. */
  readonly splitFrom: number;
  readonly splitUntil: number;
  readonly end: number;
  /** Processes that were there all the time. */
  readonly survivors: readonly string[];
}

const CALLERS_PER_HALF = 4;
const PHASE_MILLISECONDS = 5000;
const STEP_MILLISECONDS = 300;
const PAUSED_MILLISECONDS = 1500;
const OUTAGE_MILLISECONDS = 4000;
const RACING_OPERATORS = 4;
const START_MILLISECONDS = 20_000;
const PAUSED_ENTRY = 'entry-1';
const KILLED_ENTRY = 'entry-2';

/** Leaves one entry on the older revision for a while. */
async function pauseEntry(deployment: Deployment): Promise<void> {
  deployment.pause(PAUSED_ENTRY);
  await sleep(PAUSED_MILLISECONDS);
  deployment.resume(PAUSED_ENTRY);
}

async function interruptStore(storeUrl: string): Promise<void> {
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

async function makeSteps(
  deployment: Deployment,
  manner: RunSplitOptions['manner'],
): Promise<Applied[]> {
  const {storeUrl} = deployment;
  const steps = createSplitSteps[manner]();
  const middle = Math.floor(steps.length / 2);
  const applied: Applied[] = [];
  let outage: Promise<void> | null = null;
  for (const [index, changes] of steps.entries()) {
    if (index === middle) {
      // The change is tried into the outage, and again until it is taken.
      outage = interruptStore(storeUrl);
    }
    applied.push(await applyStep(storeUrl, changes));
    await sleep(STEP_MILLISECONDS);
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
 * Splits a running deployment under load, with an entry paused on the older
 * revision, the store out in the middle, racing operators and an entry killed.
 *
 * @example
 *     await runSplit({manner: 'allAtOnce', seed: 1, program, directory});
 */
export async function runSplit(options: RunSplitOptions): Promise<SplitRun> {
  const {manner, seed, program} = options;
  const {deployment, operatorsUrls} = await startWithOperators({
    plan: splitPlan.deployment,
    program,
    directory: path.join(options.directory, `${seed}-${manner}`),
  });
  const {storeUrl} = deployment;
  const first = await applyStep(storeUrl, createSplitSteps.beforeSplit());
  const urls = [...operatorsUrls.values()];
  await waitForSequence(urls, first.sequence, START_MILLISECONDS);
  const entries = [...splitPlan.deployment.entries];
  const stopTraffic = new AbortController();
  const traffic = startTraffic(deployment, seed, entries, stopTraffic.signal);
  await sleep(PHASE_MILLISECONDS);
  const splitFrom = Date.now();
  const paused = pauseEntry(deployment);
  const steps = await makeSteps(deployment, manner);
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
