import {mkdtempSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {sleep} from 'hickorywharf-utils/sleep';
import {checkHistory} from '../checkHistory.ts';
import type {DeploymentPlan} from '../deployment/deploymentPlan.ts';
import {deploymentPlans} from '../deployment/deploymentPlans.ts';
import {startDeployment} from '../deployment/startDeployment.ts';
import {loadHistory} from '../loadHistory.ts';
import {formatTable} from './formatTable.ts';
import {runTraffic} from './runTraffic.ts';

interface RunDemoOptions {
  readonly program: string;
  /** Whether the deployments keep running until SIGINT. */
  readonly keep: boolean;
  readonly print: (line: string) => void;
}

type Deployment = Awaited<ReturnType<typeof startDeployment>>;

const CALLERS = 8;
const PHASE_MILLISECONDS = 3000;
const SEED = 7;
const KILLED_ENDPOINT = 'engine-1';
const KILLED_ENTRY = 'entry-2';
const STOPPED_ENDPOINT = 'engine-2';
const DRAINED_ENDPOINT = 'encoder-2';

async function checkStop(
  name: string,
  exited: Promise<number | null>,
): Promise<void> {
  const code = await exited;
  if (code !== 0) throw new Error(`${name}: planned stop exited with ${code}`);
}

async function checkStops({processes}: Deployment): Promise<void> {
  for (const [name, {exited}] of processes) {
    if (name !== KILLED_ENTRY) await checkStop(name, exited);
  }
}

async function injectFaults(
  deployment: Deployment,
  entries: string[],
  log: (line: string) => void,
): Promise<void> {
  await sleep(PHASE_MILLISECONDS);
  log(`kill endpoint process ${KILLED_ENDPOINT}`);
  await deployment.kill(KILLED_ENDPOINT);
  await sleep(PHASE_MILLISECONDS / 3);
  log(`restart it`);
  await deployment.start(KILLED_ENDPOINT);
  await sleep(PHASE_MILLISECONDS);
  log(`stop ${STOPPED_ENDPOINT} as planned, and restart it`);
  await checkStop(STOPPED_ENDPOINT, deployment.stopOne(STOPPED_ENDPOINT));
  await deployment.start(STOPPED_ENDPOINT);
  await sleep(PHASE_MILLISECONDS / 3);
  log(`kill ${KILLED_ENTRY}`);
  await deployment.kill(KILLED_ENTRY);
  entries.splice(entries.indexOf(KILLED_ENTRY), 1);
  await deployment.list(KILLED_ENTRY, false);
  await sleep(PHASE_MILLISECONDS);
  log(`drain ${DRAINED_ENDPOINT} by a change of configuration`);
  const code = await deployment.apply(new Set([DRAINED_ENDPOINT]));
  if (code !== 0) throw new Error(`apply exited with ${code}`);
  await sleep(PHASE_MILLISECONDS * 2);
}

function countAnswered(rows: readonly {answered: number}[]): number {
  return rows.reduce((sum, {answered}) => sum + answered, 0);
}

async function runDeployment(
  plan: DeploymentPlan,
  options: RunDemoOptions,
  directory: string,
): Promise<{deployment: Deployment; isGood: boolean}> {
  const log = (line: string) => options.print(`${plan.name}: ${line}`);
  const deployment = await startDeployment({
    plan,
    program: options.program,
    directory: path.join(directory, plan.name),
  });
  const exitCode = await deployment.apply(new Set());
  if (exitCode !== 0) throw new Error(`apply exited with ${exitCode}`);
  await deployment.waitUntilReady();
  log(`${deployment.processes.size} processes are ready`);
  const stopTraffic = new AbortController();
  const entries = [...plan.entries];
  const traffic = runTraffic({
    deployment,
    seed: SEED,
    callers: CALLERS,
    signal: stopTraffic.signal,
    getEntries: () => entries,
  });
  await injectFaults(deployment, entries, log);
  stopTraffic.abort();
  const rows = await traffic;
  if (!options.keep) {
    await deployment.stop();
    await checkStops(deployment);
  }
  const events = loadHistory(deployment.historyFile);
  if (events.isErr()) throw new Error(events.error.message);
  const breaches = checkHistory(events.value);
  options.print(`\n${plan.name}\n${formatTable(rows)}`);
  log(`${events.value.length} events, ${breaches.length} broken promises`);
  for (const {promise, detail} of breaches) log(`BROKEN ${promise}: ${detail}`);
  log(`history: ${deployment.historyFile}`);
  const isGood = breaches.length === 0 && countAnswered(rows) > 0;
  return {deployment, isGood};
}

function printExampleRequest(
  deployment: Deployment,
  print: (line: string) => void,
): void {
  const {plan, entryUrls} = deployment;
  const url = entryUrls.get(plan.entries[0]!)!;
  const pipeline = plan.pipelines[0]!.name;
  print(
    `curl -N ${url}/v1/pipelines/${pipeline}/requests -H 'Authorization: Bearer ${plan.accountKey}' -H 'Content-Type: application/json' -d '{"text":"reel 7","stream":true}'`,
  );
}

/**
 * Runs small versions of both deployments, injects faults, and checks the
 * guarantees on the histories that they record.
 *
 * @returns whether every guarantee held and each deployment answered calls
 * @throws if a planned stop or `apply` fails, or a deployment does not become
 *   ready
 * @example
 *     await runDemo({program: 'dist/hickorywharf', keep: false, print});
 */
export async function runDemo(options: RunDemoOptions): Promise<boolean> {
  const directory = mkdtempSync(path.join(os.tmpdir(), 'hickorywharf-demo-'));
  const results = await Promise.all(
    Object.values(deploymentPlans).map((plan) =>
      runDeployment(plan, options, directory),
    ),
  );
  if (options.keep) {
    for (const {deployment} of results) {
      printExampleRequest(deployment, options.print);
    }
    options.print('Stop with Ctrl-C.');
    await new Promise<void>((resolve) => process.once('SIGINT', resolve));
    await Promise.all(results.map(({deployment}) => deployment.stop()));
  }
  return results.every(({isGood}) => isGood);
}
