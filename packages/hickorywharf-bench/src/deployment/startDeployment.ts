import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {request} from 'undici';
import {sleep} from 'hickorywharf-utils/sleep';
import {createDocuments} from './createDocuments.ts';
import type {DeploymentPlan} from './deploymentPlan.ts';
import {findFreePorts} from './findFreePorts.ts';
import {startProcess} from './startProcess.ts';

type StartedProcess = ReturnType<typeof startProcess>;
type Sections = Record<string, Record<string, string | number>>;

interface StartDeploymentOptions {
  readonly plan: DeploymentPlan;
  readonly program: string;
  /** Directory for settings, logs and the history. */
  readonly directory: string;
  /** Settings of a process that differ from the usual, by section and key. */
  readonly getSettings?: (name: string) => Sections;
  /** Processes that the stand-ins of backends are spread over (default 1). */
  readonly standInProcesses?: number;
  /** Fields of a stand-in that differ from the usual. */
  readonly getStandIn?: (name: string) => Readonly<Record<string, unknown>>;
}

/** A deployment that runs on loopback. */
interface Deployment {
  readonly plan: DeploymentPlan;
  readonly storeUrl: string;
  readonly historyFile: string;
  /** Addresses of the entries by name. */
  readonly entryUrls: ReadonlyMap<string, string>;
  /** Addresses of the backends by the name of their endpoint. */
  readonly backendUrls: ReadonlyMap<string, string>;
  readonly processes: Map<string, StartedProcess>;
  /** Starts a process of the system anew, under its old name and address. */
  start(name: string): Promise<void>;
  /** Tells the instance list that a process is there, or is gone. */
  list(name: string, isThere: boolean): Promise<void>;
  /** Brings declarations in force with the program's own command. */
  apply(draining: ReadonlySet<string>): Promise<number | null>;
  waitUntilReady(): Promise<void>;
  stop(): Promise<void>;
}

const ADDRESS = '127.0.0.1';
const READY_MILLISECONDS = 30_000;
const POLL_MILLISECONDS = 50;
const STOP_MILLISECONDS = 20_000;
const HOME_INTERVAL_SECONDS = 900;
const BALANCER_MILLISECONDS = 200;
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
 * Starts the stand-ins and the processes of a deployment on loopback.
 *
 * @example
 *     const deployment = await startDeployment({plan, program, directory});
 *     await deployment.waitUntilReady();
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

  function startProgram(name: string, words: readonly string[]) {
    const logFile = path.join(directory, `${name}.log`);
    return startProcess({program, words, logFile});
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

  function createSections(name: string): Sections {
    const common: Sections = {
      process: {name, failureDomain: getFailureDomain(name)},
      platform: {storeUrl, instancesUrl, instancesPollMilliseconds: 300},
      history: {file: historyFile},
    };
    const port = processPorts.get(name)!;
    const endpoint = plan.endpoints.find(
      (candidate) => candidate.name === name,
    );
    if (endpoint === undefined) {
      return {
        ...common,
        http: {address: ADDRESS, port},
        stop: {balancerMilliseconds: BALANCER_MILLISECONDS},
      };
    }
    const url = `http://${ADDRESS}:${backendPorts.get(name)}`;
    const homes: Sections =
      endpoint.backend === 'service'
        ? {
            homes: {
              pool: endpoint.pool,
              intervalSeconds: HOME_INTERVAL_SECONDS,
            },
          }
        : {};
    return {
      ...common,
      ...homes,
      listen: {address: ADDRESS, port},
      backend: {kind: endpoint.backend, url, slots: endpoint.slots},
    };
  }

  async function list(name: string, isThere: boolean): Promise<void> {
    const role = plan.entries.includes(name) ? 'entry' : 'endpoint';
    const instance = {
      name,
      role,
      address: ADDRESS,
      port: processPorts.get(name),
      failureDomain: getFailureDomain(name),
      state: 'live',
    };
    const {body} = await request(`${instancesUrl}/${name}`, {
      method: isThere ? 'PUT' : 'DELETE',
      headers: {'content-type': 'application/json'},
      ...(isThere ? {body: JSON.stringify(instance)} : {}),
    });
    await body.dump();
  }

  async function start(name: string): Promise<void> {
    const file = path.join(directory, `${name}.ini`);
    const sections = createSections(name);
    const changed = options.getSettings?.(name) ?? {};
    for (const [section, values] of Object.entries(changed)) {
      sections[section] = {...sections[section], ...values};
    }
    writeFileSync(file, toIni(sections));
    const role = plan.entries.includes(name) ? 'entry' : 'endpoint';
    processes.set(name, startProgram(name, [role, '--settings', file]));
    await list(name, true);
  }

  function apply(draining: ReadonlySet<string>): Promise<number | null> {
    const declarations = path.join(directory, 'declarations');
    mkdirSync(declarations, {recursive: true});
    writeFileSync(
      path.join(declarations, 'all.json'),
      JSON.stringify(createDocuments(plan, draining)),
    );
    const words = ['apply', declarations, '--store', storeUrl];
    return startProgram('apply', words).exited;
  }

  const entryUrls = new Map(
    plan.entries.map((name) => [
      name,
      `http://${ADDRESS}:${processPorts.get(name)}`,
    ]),
  );

  async function waitFor(isDone: () => Promise<boolean>): Promise<void> {
    const end = performance.now() + READY_MILLISECONDS;
    while (!(await isDone())) {
      if (performance.now() > end) throw new Error(`${plan.name}: not ready`);
      await sleep(POLL_MILLISECONDS);
    }
  }

  async function isStoreUp(): Promise<boolean> {
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
  await waitFor(isStoreUp);
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
    list,
    apply,
    waitUntilReady: () =>
      waitFor(async () => {
        const ready = await Promise.all([...entryUrls.values()].map(isReady));
        return ready.every(Boolean);
      }),
    async stop() {
      for (const started of processes.values()) started.signal('SIGTERM');
      const timer = setTimeout(() => {
        for (const started of processes.values()) started.signal('SIGKILL');
      }, STOP_MILLISECONDS);
      await Promise.all([...processes.values()].map(({exited}) => exited));
      clearTimeout(timer);
      for (const standIn of standIns) standIn.signal('SIGTERM');
      await Promise.all(standIns.map(({exited}) => exited));
    },
  };
}
