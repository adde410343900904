import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {request} from 'undici';
import {createHistoryRecorder} from 'hickorywharf-telemetry/createHistoryRecorder';
import type {HistoryRecorder} from 'hickorywharf-telemetry/historyRecorder';
import {createSystemClock} from 'hickorywharf-utils/createSystemClock';
import {sleep} from 'hickorywharf-utils/sleep';
import {createProcessControl} from './createProcessControl.ts';
import {createProcessSections} from './createProcessSections.ts';
import {createDeclarationsApplier} from './createDeclarationsApplier.ts';
import type {DeploymentPlan} from './deploymentPlan.ts';
import {findFreePorts} from './findFreePorts.ts';
import {startProcess} from './startProcess.ts';

type StartedProcess = ReturnType<typeof startProcess>;
type Sections = Record<string, Record<string, string | number>>;

interface StartDeploymentOptions {
  readonly plan: DeploymentPlan;
  readonly program: string;
  /** Directory for settings, logs and the history; created if missing. */
  readonly directory: string;
  /** Settings of a process that replace the defaults, by section and key. */
  readonly getSettings?: (name: string) => Sections;
  /** Port under which a process is listed; its own port by default. */
  readonly getListedPort?: (name: string, port: number) => number;
  /** Arguments of the program that precede its command. */
  readonly programArguments?: readonly string[];
  /** Number of processes that run the stand-ins of backends (default 1). */
  readonly standInProcesses?: number;
  /** Fields of an endpoint's stand-in that replace the defaults. */
  readonly getStandIn?: (name: string) => Readonly<Record<string, unknown>>;
}

/** A running deployment, whose processes listen on loopback. */
interface Deployment {
  readonly plan: DeploymentPlan;
  readonly storeUrl: string;
  readonly historyFile: string;
  /** URLs of the entries by name. */
  readonly entryUrls: ReadonlyMap<string, string>;
  /** URLs of the backends by the name of their endpoint. */
  readonly backendUrls: ReadonlyMap<string, string>;
  /** Entries and endpoint processes by name. */
  readonly processes: Map<string, StartedProcess>;
  /** Restarts an entry or endpoint process under its name and address. */
  start(name: string): Promise<void>;
  /** Kills a process, and records that its exit was not a planned stop. */
  kill(name: string): Promise<void>;
  /** Sends SIGTERM to a process; resolves with its exit code. */
  stopOne(name: string): Promise<number | null>;
  /** Suspends a process until `resume`. */
  pause(name: string): void;
  resume(name: string): void;
  /** Records what the experiment or demo does to the deployment. */
  readonly history: HistoryRecorder;
  /** Adds a process to the instance list, or removes it. */
  list(name: string, isListed: boolean): Promise<void>;
  /** Applies the declarations; resolves with the exit code of `apply`. */
  apply(draining: ReadonlySet<string>): Promise<number | null>;
  /** Waits until every entry is ready; rejects after 30 s. */
  waitUntilReady(): Promise<void>;
  /** Stops all processes and stand-ins, and closes the history. */
  stop(): Promise<void>;
}

const ADDRESS = '127.0.0.1';
const READY_TIMEOUT_MILLISECONDS = 30_000;
const POLL_MILLISECONDS = 50;
/**
 * Interval of the `timePassed` events, from which the checks derive a lower
 * bound of the time between any two other events.
 */
const TIME_PASSED_INTERVAL_MILLISECONDS = 200;
const LIST_LAG_MILLISECONDS = 300;

function toIni(sections: Sections): string {
  return Object.entries(sections)
    .map(([section, values]) => {
      const lines = Object.entries(values).map(([key, v]) => `${key} = ${v}`);
      return [`[${section}]`, ...lines, ''].join('\n');
    })
    .join('\n');
}

async function isReady(url: string): Promise<boolean> {
  try {
    const {statusCode, body} = await request(`${url}/health/ready`);
    await body.dump();
    return statusCode === 200;
  } catch {
    return false;
  }
}

/**
 * Starts the stand-ins and the processes of a deployment on loopback, and lists
 * the processes. The deployment has no configuration until `apply`. The caller
 * owns it and has to `stop` it.
 *
 * @throws if the store stand-in does not respond within 30 s
 * @example
 *     const deployment = await startDeployment({plan, program, directory});
 *     await deployment.apply(new Set());
 *     await deployment.waitUntilReady();
 *     await deployment.stop();
 */
export async function startDeployment(
  options: StartDeploymentOptions,
): Promise<Deployment> {
  const {plan, program, directory} = options;
  mkdirSync(directory, {recursive: true});
  const historyFile = path.join(directory, 'history.ndjson');
  const names = [...plan.entries, ...plan.endpoints.map(({name}) => name)];
  const count = 2 + names.length + plan.endpoints.length;
  const ports = await findFreePorts(ADDRESS, count);
  const takePort = () => ports.pop()!;
  const storePort = takePort();
  const instancesPort = takePort();
  const instancesUrl = `http://${ADDRESS}:${instancesPort}/v1/instances`;
  const storeUrl = `http://${ADDRESS}:${storePort}`;
  const processPorts = new Map(names.map((name) => [name, takePort()]));
  const backendPorts = new Map(
    plan.endpoints.map(({name}) => [name, takePort()]),
  );
  const processes = new Map<string, StartedProcess>();
  const history = createHistoryRecorder({
    process: `${plan.name}-driver`,
    file: historyFile,
    clock: createSystemClock(),
  });
  const {programArguments = []} = options;
  const timePassedTimer = setInterval(
    () => history.record({tag: 'timePassed'}),
    TIME_PASSED_INTERVAL_MILLISECONDS,
  );
  const control = createProcessControl(processes, history);

  function startProgram(name: string, commandArguments: readonly string[]) {
    const logFile = path.join(directory, `${name}.log`);
    return startProcess({
      program,
      words: [...programArguments, ...commandArguments],
      logFile,
    });
  }

  function startStandIns(
    name: string,
    standIns: readonly unknown[],
  ): StartedProcess {
    const file = path.join(directory, `${name}.json`);
    const content = {address: ADDRESS, historyFile, standIns};
    writeFileSync(file, JSON.stringify(content));
    return startProgram(name, ['stand-in', file]);
  }

  function startBackends(): StartedProcess[] {
    const groups = options.standInProcesses ?? 1;
    return Array.from({length: groups}, (_, group) => {
      const members = plan.endpoints.filter(
        (_endpoint, index) => index % groups === group,
      );
      const standIns = members.map(({name, backend}) => ({
        name: `${name}-backend`,
        kind: backend,
        port: backendPorts.get(name)!,
        ...options.getStandIn?.(name),
      }));
      return startStandIns(`backends-${group}`, standIns);
    });
  }

  function getFailureDomain(name: string): string {
    return plan.failureDomains[
      names.indexOf(name) % plan.failureDomains.length
    ]!;
  }

  async function list(name: string, isListed: boolean): Promise<void> {
    const role = plan.entries.includes(name) ? 'entry' : 'endpoint';
    const port = processPorts.get(name)!;
    const instance = {
      name,
      role,
      address: ADDRESS,
      port: options.getListedPort?.(name, port) ?? port,
      failureDomain: getFailureDomain(name),
      state: 'live',
    };
    const {body} = await request(`${instancesUrl}/${name}`, {
      method: isListed ? 'PUT' : 'DELETE',
      headers: {'content-type': 'application/json'},
      ...(isListed ? {body: JSON.stringify(instance)} : {}),
    });
    await body.dump();
  }

  async function start(name: string): Promise<void> {
    const file = path.join(directory, `${name}.ini`);
    const sections = createProcessSections({
      plan,
      name,
      address: ADDRESS,
      port: processPorts.get(name)!,
      backendPort: backendPorts.get(name) ?? 0,
      failureDomain: getFailureDomain(name),
      storeUrl,
      instancesUrl,
      historyFile,
    });
    const overrides = options.getSettings?.(name) ?? {};
    for (const [section, values] of Object.entries(overrides)) {
      sections[section] = {...sections[section], ...values};
    }
    writeFileSync(file, toIni(sections));
    const role = plan.entries.includes(name) ? 'entry' : 'endpoint';
    const started = startProgram(name, [role, '--settings', file]);
    processes.set(name, started);
    control.recordUnexpectedExit(name);
    await list(name, true);
  }

  const applyDeclarations = createDeclarationsApplier({
    plan,
    directory,
    storeUrl,
    history,
    startProgram,
  });

  const entryUrls = new Map(
    plan.entries.map((name) => [
      name,
      `http://${ADDRESS}:${processPorts.get(name)}`,
    ]),
  );

  async function waitFor(isDone: () => Promise<boolean>): Promise<void> {
    const end = performance.now() + READY_TIMEOUT_MILLISECONDS;
    while (!(await isDone())) {
      if (performance.now() > end) throw new Error(`${plan.name}: not ready`);
      await sleep(POLL_MILLISECONDS);
    }
  }

  async function isStoreReachable(): Promise<boolean> {
    try {
      const {body, statusCode} = await request(`${storeUrl}/v1/calls`);
      await body.dump();
      return statusCode === 200;
    } catch {
      return false;
    }
  }

  const platform = startStandIns('platform', [
    {name: 'store', kind: 'store', port: storePort},
    {
      name: 'instances',
      kind: 'instances',
      port: instancesPort,
      lagMilliseconds: LIST_LAG_MILLISECONDS,
    },
  ]);
  const standIns = [platform, ...startBackends()];
  await waitFor(isStoreReachable);
  await Promise.all(names.map(start));

  return {
    plan,
    storeUrl,
    historyFile,
    entryUrls,
    backendUrls: new Map(
      [...backendPorts].map(([name, port]) => [
        name,
        `http://${ADDRESS}:${port}`,
      ]),
    ),
    processes,
    start,
    kill: control.kill,
    stopOne: control.stopOne,
    pause: control.pause,
    resume: control.resume,
    history,
    list,
    apply: applyDeclarations,
    waitUntilReady: () =>
      waitFor(async () => {
        const ready = await Promise.all([...entryUrls.values()].map(isReady));
        return ready.every(Boolean);
      }),
    async stop() {
      await control.stopAll();
      for (const standIn of standIns) standIn.signal('SIGTERM');
      await Promise.all(standIns.map(({exited}) => exited));
      clearInterval(timePassedTimer);
      history.close();
    },
  };
}
