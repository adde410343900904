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
  /** Words of the command line before the command itself. */
  readonly programWords?: readonly string[];
  readonly directory: string;
}

/** What one run of a campaign showed. */
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
/** Slow enough that faults mostly strike actions and streams under way. */
const STAND_INS: Readonly<Record<string, Readonly<Record<string, number>>>> = {
  desk: {workMilliseconds: 150},
  engine: {tokenMilliseconds: 15},
};
/** Traffic after the last fault has ended. */
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

async function start(options: RunCampaignOptions, relays: Relays) {
  const {directory, program, programWords = []} = options;
  const deployment = await startDeployment({
    plan: campaignPlan,
    program,
    programWords,
    directory,
    getListedPort(name, port) {
      const relay = relays.get(name);
      relay?.setTarget(port);
      return relay?.port ?? port;
    },
    getSettings: createSettings,
    getStandIn: (name) => STAND_INS[name.split('-')[0]!] ?? {},
  });
  const accepted = await deployment.apply(new Set());
  if (accepted !== 0) throw new Error(`apply ended with ${accepted}`);
  await deployment.waitUntilReady();
  return deployment;
}

async function strikeAll(
  environment: FaultEnvironment,
  plan: ReturnType<typeof planFaults>,
): Promise<void> {
  const startedAt = performance.now();
  let before = Promise.resolve();
  const strikes = plan.faults.map(async (planned) => {
    const earlier = before;
    const {promise, resolve} = Promise.withResolvers<void>();
    before = promise;
    const elapsed = performance.now() - startedAt;
    await sleep(Math.max(0, planned.atMilliseconds - elapsed));
    // The second of two in turn waits where mending the first took longer.
    if (plan.arrangement !== 'at once') await earlier;
    const {name, target, forMilliseconds} = planned;
    await faults[name].strike(environment, target, forMilliseconds);
    resolve();
  });
  await Promise.all(strikes);
}

/**
 * Runs the deployment of a campaign under the faults of one seed, and checks
 * the history that it records.
 *
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
  const deployment = await start(options, relays);
  const balanced = new Set(campaignPlan.entries);
  const environment = {
    deployment,
    relays,
    balanced,
    drained: new Set<string>(),
  };
  const stopTraffic = new AbortController();
  const traffic = runTraffic({
    deployment,
    seed,
    callers: CALLERS,
    signal: stopTraffic.signal,
    getEntries: () => [...balanced],
  });
  try {
    await strikeAll(environment, plan);
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
