import path from 'node:path';
import {sleep} from 'hickorywharf-utils/sleep';
import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import {deploymentPlans} from '../../deployment/deploymentPlans.ts';
import type {startDeployment} from '../../deployment/startDeployment.ts';
import {runTraffic} from '../../demo/runTraffic.ts';
import {loadHistory} from '../../loadHistory.ts';
import {applyStep} from './applyStep.ts';
import {countPeakStoreCalls} from './countPeakStoreCalls.ts';
import {startWithOperators} from './startWithOperators.ts';
import {storeStandIn} from './storeStandIn.ts';
import {waitForSequence} from './waitForSequence.ts';

type Deployment = Awaited<ReturnType<typeof startDeployment>>;

interface RunOptions {
  readonly outage: 'refused' | 'slow' | 'restored';
  readonly seed: number;
  readonly program: string;
  readonly directory: string;
}

/** Observations of one run, to be evaluated. */
interface OutageRun {
  readonly events: readonly HistoryEvent[];
  readonly applied: Awaited<ReturnType<typeof applyStep>>;
  /** Exit code of `apply` during the outage; 0 is accepted. */
  readonly applyCode: number | null;
  /** Time until an entry that was started during the outage was ready. */
  readonly readyMilliseconds: number;
  /** Highest number of store calls in a second. */
  readonly callsPeakInOutage: number;
  readonly callsPeakAfter: number;
  /** Wall times in milliseconds. */
  readonly outageFrom: number;
  readonly outageUntil: number;
  readonly processNames: readonly string[];
}

const CALLERS = 8;
const PHASE_MILLISECONDS = 4000;
const OUTAGE_SECONDS = 8;
const AFTER_SECONDS = 5;
const SLOW_LATENCY_MILLISECONDS = 1500;
const RESTARTED_ENTRY = 'entry-2';
const RESTARTED_ENDPOINT = 'encoder-1';
const SEQUENCE_TIMEOUT_MILLISECONDS = 20_000;

const CHANGE = {kind: 'route', name: 'toys'} as const;
const DOCUMENT = {
  ...CHANGE,
  schemaVersion: 2,
  pipeline: 'catalogue-question',
  half: null,
};

/** Requests that inject the faults of each outage, and that clear them. */
const OUTAGES = {
  refused: {inject: {unavailable: true}, clear: {unavailable: false}},
  slow: {
    inject: {latencyMilliseconds: SLOW_LATENCY_MILLISECONDS},
    clear: {latencyMilliseconds: 0},
  },
  restored: {inject: {unavailable: true}, clear: {unavailable: false}},
} as const;

async function restart(deployment: Deployment, name: string): Promise<void> {
  await deployment.stopOne(name);
  await deployment.start(name);
}

/**
 * Runs a deployment under load through an outage of the store. During the
 * outage an entry and an endpoint process are restarted and an operator applies
 * a change.
 *
 * @example
 *     await runStoreOutage({outage: 'refused', seed: 1, program, directory});
 */
export async function runStoreOutage(options: RunOptions): Promise<OutageRun> {
  const {outage, seed, program} = options;
  const {deployment, operatorsUrls} = await startWithOperators({
    plan: deploymentPlans.authority,
    program,
    directory: path.join(options.directory, `${seed}-${outage}`),
  });
  const {storeUrl} = deployment;
  const urls = [...operatorsUrls.values()];
  await waitForSequence(urls, 1, SEQUENCE_TIMEOUT_MILLISECONDS);
  if (outage === 'restored') {
    await storeStandIn.backUp(storeUrl);
    const change = {...CHANGE, document: {...DOCUMENT, copy: 'newer'}};
    const {sequence} = await applyStep(storeUrl, [change]);
    await waitForSequence(urls, sequence, SEQUENCE_TIMEOUT_MILLISECONDS);
  }
  const entries = [...deployment.plan.entries];
  const stopTraffic = new AbortController();
  const traffic = runTraffic({
    deployment,
    seed,
    callers: CALLERS,
    signal: stopTraffic.signal,
    getEntries: () => entries,
  });
  await sleep(PHASE_MILLISECONDS);
  const outageFrom = Date.now();
  await storeStandIn.setFaults(storeUrl, OUTAGES[outage].inject);
  const callsInOutage = countPeakStoreCalls({
    storeUrl,
    seconds: OUTAGE_SECONDS,
  });
  const applying = deployment.apply(new Set(['encoder-2']));
  // The load balancer removes an entry before it is replaced.
  entries.splice(entries.indexOf(RESTARTED_ENTRY), 1);
  await restart(deployment, RESTARTED_ENTRY);
  const startedAt = performance.now();
  await deployment.waitUntilReady();
  const readyMilliseconds = performance.now() - startedAt;
  entries.push(RESTARTED_ENTRY);
  await restart(deployment, RESTARTED_ENDPOINT);
  const applyCode = await applying;
  const callsPeakInOutage = await callsInOutage;
  if (outage === 'restored') await storeStandIn.restore(storeUrl);
  await storeStandIn.setFaults(storeUrl, OUTAGES[outage].clear);
  const outageUntil = Date.now();
  const callsPeakAfter = await countPeakStoreCalls({
    storeUrl,
    seconds: AFTER_SECONDS,
  });
  const last = {...CHANGE, document: {...DOCUMENT, copy: 'last'}};
  const applied = await applyStep(storeUrl, [last]);
  await waitForSequence(urls, applied.sequence, SEQUENCE_TIMEOUT_MILLISECONDS);
  stopTraffic.abort();
  await traffic;
  await deployment.stop();
  return {
    events: loadHistory(deployment.historyFile)._unsafeUnwrap(),
    applied,
    applyCode,
    readyMilliseconds,
    callsPeakInOutage,
    callsPeakAfter,
    outageFrom,
    outageUntil,
    processNames: [...deployment.processes.keys()],
  };
}
