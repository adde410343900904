import {mkdirSync} from 'node:fs';
import {createTcpRelay} from 'hickorywharf-standins/createTcpRelay';
import {sleep} from 'hickorywharf-utils/sleep';
import type {Breach} from '../breach.ts';
import {checkHistory} from '../checkHistory.ts';
import {runTraffic} from '../demo/runTraffic.ts';
import {startDeployment} from '../deployment/startDeployment.ts';
import {loadHistory} from '../loadHistory.ts';
import {campaignPlan} from './campaignPlan.ts';
import type {FaultEnvironment} from './faultEnvironment.ts';
import {faults} from './faults.ts';
import {planFaults} from './planFaults.ts';

interface RunCampaignOptions {
  readonly seed: number;
  readonly program: string;
  /** Arguments of the program that precede its command. */
  readonly programArguments?: readonly string[];
  /** Directory for settings, logs and the history; created if missing. */
  readonly directory: string;
}

/** Result of one run of a campaign; counts are of calls. */
interface CampaignRun {
  readonly seed: number;
  readonly plan: ReturnType<typeof planFaults>;
  readonly sent: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly connectionLost: number;
  readonly breaches: readonly Breach[];
  readonly historyFile: string;
}

const CALLERS = 8;
const ADDRESS = '127.0.0.1';
const HOME_INTERVAL_SECONDS = 3;
const DELAY_MILLISECONDS = 400;
/** Slow enough that faults mostly hit actions and streams in progress. */
const STAND_INS: Readonly<Record<string, Readonly<Record<string, number>>>> = {
  desk: {workMilliseconds: 150},
  engine: {tokenMilliseconds: 15},
};
/** Time for which traffic continues after the last fault has ended. */
const SETTLE_MILLISECONDS = 1500;

type Relays = FaultEnvironment['relays'];

async function createRelays(): Promise<Relays> {
  const entries = campaignPlan.endpoints.map(async ({name}) => {
    const relay = await createTcpRelay({
      address: ADDRESS,
      delayMilliseconds: DELAY_MILLISECONDS,
    });
    return [name, relay] as const;
  });
  return new Map(await Promise.all(entries));
}

function createSettings(name: string): Record<string, Record<string, number>> {
  if (!name.startsWith('desk-')) return {};
  return {homes: {intervalSeconds: HOME_INTERVAL_SECONDS}};
}

async function startCampaignDeployment(
  options: RunCampaignOptions,
  relays: Relays,
) {
  const {directory, program, programArguments = []} = options;
  const deployment = await startDeployment({
    plan: campaignPlan,
    program,
    programArguments,
    directory,
    getListedPort(name, port) {
      const relay = relays.get(name);
      relay?.setTarget(port);
      return relay?.port ?? port;
    },
    getSettings: createSettings,
    getStandIn: (name) => STAND_INS[name.split('-')[0]!] ?? {},
  });
  const exitCode = await deployment.apply(new Set());
  if (exitCode !== 0) throw new Error(`apply exited with ${exitCode}`);
  await deployment.waitUntilReady();
  return deployment;
}

async function injectFaults(
  environment: FaultEnvironment,
  plan: ReturnType<typeof planFaults>,
): Promise<void> {
  const startedAt = performance.now();
  let before = Promise.resolve();
  const injections = plan.faults.map(async (planned) => {
    const earlier = before;
    const {promise, resolve} = Promise.withResolvers<void>();
    before = promise;
    const elapsed = performance.now() - startedAt;
    await sleep(Math.max(0, planned.atMilliseconds - elapsed));
    // The first fault may take longer than planned to be reverted.
    if (plan.arrangement !== 'at once') await earlier;
    const {name, target, durationMilliseconds} = planned;
    await faults[name].inject(environment, target, durationMilliseconds);
    resolve();
  });
  await Promise.all(injections);
}

/**
 * Runs the deployment of a campaign under the faults of one seed, and checks
 * the history that it records.
 *
 * @throws if the deployment does not become ready, or its history is invalid
 * @example
 *     const {breaches} = await runCampaign({seed: 7, program, directory});
 */
export async function runCampaign(
  options: RunCampaignOptions,
): Promise<CampaignRun> {
  const {seed, directory} = options;
  mkdirSync(directory, {recursive: true});
  const plan = planFaults(seed);
  const relays = await createRelays();
  const deployment = await startCampaignDeployment(options, relays);
  const balancedEntries = new Set(campaignPlan.entries);
  const environment = {
    deployment,
    relays,
    balancedEntries,
    drainedEndpoints: new Set<string>(),
  };
  const stopTraffic = new AbortController();
  const traffic = runTraffic({
    deployment,
    seed,
    callers: CALLERS,
    signal: stopTraffic.signal,
    getEntries: () => [...balancedEntries],
  });
  try {
    await injectFaults(environment, plan);
    await sleep(SETTLE_MILLISECONDS);
  } finally {
    stopTraffic.abort();
    await traffic;
    await deployment.stop();
    for (const relay of relays.values()) relay.close();
  }
  const rows = await traffic;
  const events = loadHistory(deployment.historyFile);
  if (events.isErr()) throw new Error(events.error.message);
  const count = (
    name: 'sent' | 'answered' | 'notRun' | 'unknown' | 'connectionLost',
  ) => rows.reduce((sum, row) => sum + row[name], 0);
  return {
    seed,
    plan,
    sent: count('sent'),
    answered: count('answered'),
    notRun: count('notRun'),
    unknown: count('unknown'),
    connectionLost: count('connectionLost'),
    breaches: checkHistory(events.value),
    historyFile: deployment.historyFile,
  };
}
