/**
 * Stand-ins for the platform of a small deployment, and the starter of the
 * gateway program. They follow PROTOCOL.md and DEPLOY.md of the users' pages.
 */
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';

const ROOT = path.resolve(import.meta.dirname, '../..');

/** The processes that a script started and that have not ended yet. */
const running = new Set();
process.on('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
  process.on(signal, () => process.exit(2));
}

/** The command of the role in `deploy/system.toml`. */
function readRunCommand() {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const command = /^run = "([^"]+)"/m.exec(text)?.[1];
  return command.split(' ');
}

export const sleep = (milliseconds) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

/** Writes what was sent, answered and run to `record.txt`, with times. */
export function createRecord(folder) {
  const startedAt = performance.now();
  const stream = fs.createWriteStream(path.join(folder, 'record.txt'));
  return {
    write(line) {
      const seconds = ((performance.now() - startedAt) / 1000).toFixed(3);
      stream.write(`${seconds} ${line}\n`);
      console.log(`${seconds} ${line}`);
    },
    close: () => new Promise((resolve) => stream.end(resolve)),
  };
}

/** A port that was free a moment ago. */
export function findPort(host) {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const {port} = server.address();
      server.close(() => resolve(port));
    });
  });
}

function readJson(request) {
  return new Promise((resolve) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const text = Buffer.concat(chunks).toString();
      resolve(text === '' ? null : JSON.parse(text));
    });
    request.on('error', () => resolve(null));
  });
}

/**
 * The platform's store: items, leases and conditional writes. An answer takes
 * 4 ms, as in the sheets.
 */
export async function startStore(host = '127.0.0.1') {
  const items = new Map();
  const leases = new Map();
  let revision = 100;
  let lastLease = 0;
  const connections = new Set();

  const put = (key, value, lease = 0) => {
    revision += 1;
    const created = items.get(key)?.created ?? revision;
    items.set(key, {key, value, rev: revision, created, lease});
  };
  const remove = (key) => {
    revision += 1;
    items.delete(key);
  };
  function endLease(id) {
    clearTimeout(leases.get(id)?.timer);
    leases.delete(id);
    for (const item of [...items.values()]) {
      if (item.lease === id) remove(item.key);
    }
  }
  function renew(id, ttlMs) {
    clearTimeout(leases.get(id)?.timer);
    const timer = setTimeout(() => endLease(id), ttlMs);
    leases.set(id, {ttlMs, timer});
  }

  function handle(method, url, body) {
    const {pathname, searchParams} = url;
    const id = Number(pathname.split('/')[3]);
    if (pathname === '/api/kv-key') {
      const item = items.get(searchParams.get('key'));
      return item === undefined ? [404, {}] : [200, {...item, asOf: revision}];
    }
    if (pathname === '/api/kv-range') {
      const prefix = searchParams.get('prefix');
      const after = searchParams.get('after') ?? '';
      const entries = [...items.values()]
        .filter(({key}) => key.startsWith(prefix) && key > after)
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      return [200, {entries, morePages: false, asOf: revision}];
    }
    if (pathname === '/api/kv-lease') {
      lastLease += 1;
      renew(lastLease, body.ttlMs);
      return [200, {lease: lastLease, ttlMs: body.ttlMs}];
    }
    if (pathname.startsWith('/api/kv-keep/')) {
      if (!leases.has(id)) return [404, {}];
      renew(id, leases.get(id).ttlMs);
      return [200, {ttlMs: leases.get(id).ttlMs}];
    }
    if (pathname.startsWith('/api/kv-lease-end/')) {
      if (!leases.has(id)) return [404, {}];
      endLease(id);
      return [200, {}];
    }
    if (pathname === '/api/kv-txn') {
      const {expectedRev = [], puts = [], remove: removed = []} = body;
      const states = expectedRev.map(({key}) => items.get(key) ?? {key});
      const isMet = expectedRev.every(
        ({key, rev}) => (items.get(key)?.rev ?? 0) === rev,
      );
      if (!isMet) return [412, {entries: states}];
      if (puts.some(({lease}) => lease && !leases.has(lease))) return [404, {}];
      for (const {key, value, lease} of puts) put(key, value, lease ?? 0);
      for (const key of removed) remove(key);
      return [200, {rev: revision}];
    }
    return [404, {}];
  }

  const server = http.createServer(async (request, response) => {
    const body = await readJson(request);
    await sleep(4);
    const url = new URL(request.url, 'http://store');
    const [status, answer] = handle(request.method, url, body);
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify(answer));
  });
  server.on('connection', (socket) => {
    connections.add(socket);
    socket.on('close', () => connections.delete(socket));
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    /** Writes any value, as the operator or a server does. */
    write: (key, value) =>
      put(key, Buffer.from(JSON.stringify(value)).toString('base64')),
    remove,
    keys: () => [...items.keys()],
    close() {
      for (const {timer} of leases.values()) clearTimeout(timer);
      for (const socket of connections) socket.destroy();
      server.close();
    },
  };
}

/** Fills in `deploy/settings.ini` as the platform does: `{{a}}`, `{{a.b}}`. */
function renderSettings(fields) {
  const template = fs.readFileSync(
    path.join(ROOT, 'deploy/settings.ini'),
    'utf8',
  );
  return template.replaceAll(/\{\{([\w.]+)\}\}/g, (_match, name) => {
    const value = name.split('.').reduce((node, key) => node?.[key], fields);
    return Array.isArray(value) ? value.join(',') : String(value ?? '');
  });
}

/** Figures of the small deployments' sheets. */
const BOUNDS = {
  graceS: 8,
  revokeMs: 5000,
  configApplyMs: 2000,
  drainMs: 2000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  budgetMinRetries: 52,
};
const LIMITS = {cpuShare: 0.513, memoryMb: 350, linkMbps: 1000};

function checkReadiness(listen) {
  const [host, port] = listen.split(':');
  return new Promise((resolve) => {
    const request = http.get(
      {host, port, path: '/api/ready', agent: false, timeout: 500},
      (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      },
    );
    request.on('error', () => resolve(false));
    request.on('timeout', () => request.destroy());
  });
}

/**
 * Starts one gateway with the command of the deploy file.
 *
 * @param ip a loopback address of its own, since the port of its metrics is
 *     fixed
 */
export async function startGateway({
  name,
  zone,
  ip,
  store,
  seeds = [],
  record,
}) {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
  const file = path.join(folder, 'settings.ini');
  const listen = {
    front: `${ip}:${await findPort(ip)}`,
    readiness: `${ip}:${await findPort(ip)}`,
    control: `${ip}:${await findPort(ip)}`,
  };
  const fields = {
    node: name,
    zone,
    ip,
    listen,
    seeds: seeds.length > 0 ? seeds : [listen.control],
    limits: LIMITS,
    platform: {address: store.address},
    bounds: {...BOUNDS},
  };
  fs.writeFileSync(file, renderSettings(fields));
  const [program, ...rest] = readRunCommand();
  const log = fs.openSync(path.join(folder, 'log'), 'a');
  const child = spawn(program === 'node' ? process.execPath : program, rest, {
    cwd: ROOT,
    env: {
      PATH: process.env.PATH,
      HOME: process.env.HOME,
      HICKORYWHARF_CONFIG: file,
    },
    stdio: ['ignore', log, log],
  });
  const gateway = {name, listen, child, exit: null, folder};
  running.add(child);
  gateway.exited = new Promise((resolve) => {
    child.on('exit', (code, signal) => {
      running.delete(child);
      gateway.exit = {code, signal};
      record.write(`${name} ended, code ${code}, signal ${signal}`);
      if (code > 0)
        record.write(gateway.readLog().slice(-600).replaceAll(ROOT, '.'));
      resolve(gateway.exit);
    });
  });
  /** Changes a bound in the settings file, as the platform does. */
  gateway.changeBound = (key, value) => {
    fields.bounds[key] = value;
    fs.writeFileSync(file, renderSettings(fields));
  };
  gateway.readLog = () => fs.readFileSync(path.join(folder, 'log'), 'utf8');
  gateway.isReady = () => checkReadiness(listen.readiness);
  gateway.end = async () => {
    if (gateway.exit === null) child.kill('SIGKILL');
    await gateway.exited;
    fs.closeSync(log);
    fs.rmSync(folder, {recursive: true, force: true});
  };
  record.write(
    `${name} started, process ${child.pid}, callers at ${listen.front}`,
  );
  return gateway;
}

/** Waits until a gateway is ready; false if it is not in time. */
export async function waitReady(gateway, milliseconds = 12_000) {
  const end = performance.now() + milliseconds;
  while (performance.now() < end && gateway.exit === null) {
    if (await gateway.isReady()) return true;
    await sleep(100);
  }
  return false;
}

/** An endpoint's entry in the store, as a server writes it. */
export function createEntry({service, address, zone = 'lisboa-a'}) {
  return {
    service,
    address,
    zone,
    version: '1.0.0',
    slots: 6,
    state: 'ready',
    coldLeftMs: 0,
    seq: 1,
    born: Date.now(),
  };
}

/**
 * A configuration of a small deployment with one route to a plain service.
 *
 * @param routes added to it or in its place
 */
export function createConfiguration({version = 7, routes, services}) {
  return {
    version,
    routes,
    services,
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
  };
}
