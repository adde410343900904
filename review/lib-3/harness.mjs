/**
 * Shared by the scripts of the third review: starts the program with the
 * command and the settings template of the deploy file, on loopback addresses,
 * and small stand-ins of the platform's store, of servers and of clients. It
 * uses Node.js alone.
 */
import {spawn} from 'node:child_process';
import {randomBytes} from 'node:crypto';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';

const ROOT = path.resolve(import.meta.dirname, '../..');

export const sleep = (milliseconds) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

const startedAt = performance.now();
/** Seconds since the start of the script. */
export const seconds = () => (performance.now() - startedAt) / 1000;

const drawByte = () => 1 + Math.floor(Math.random() * 253);
/** A loopback address of its own for each process. */
export const drawAddress = () =>
  `127.${64 + Math.floor(Math.random() * 60)}.${drawByte()}.${drawByte()}`;
export const drawId = () => randomBytes(8).toString('hex');

/** Collects the lines of `record.txt`. */
export function createRecord(folder) {
  const lines = [];
  return {
    add(what, fields = {}) {
      const text = Object.entries(fields)
        .map(([name, value]) => `${name}=${value}`)
        .join(' ');
      lines.push(`${seconds().toFixed(3).padStart(8)} ${what} ${text}`.trim());
    },
    write: () =>
      fs.writeFileSync(
        path.join(folder, 'record.txt'),
        `${lines.join('\n')}\n`,
      ),
  };
}

function listen(server, host, port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, 1024, () => resolve(server.address().port));
  });
}

/**
 * The platform's store: linearizable items with revisions, leases, and pages of
 * 500 items.
 *
 * @param options.onWrite called for each transaction; `late` leaves it without
 *   an answer and does it `lateMs` later, if its lease is there by then
 * @param options.staleMs age of the answers to reads that allow stale ones
 */
export async function createStore({onWrite = () => null, staleMs = 0} = {}) {
  const host = drawAddress();
  const items = new Map();
  const leases = new Map();
  let revision = 10;
  let lastLease = 70_000;
  const store = {address: '', mode: 'normal', writes: 0};
  /** What the items were, for reads that may be stale. */
  const past = [{at: -Infinity, items: new Map()}];

  function keepPast() {
    const at = performance.now();
    past.push({at, items: new Map(items)});
    while (past.length > 2 && past[1].at < at - staleMs) past.shift();
  }

  function dropExpired() {
    for (const [id, lease] of leases) {
      if (lease.until > Date.now()) continue;
      leases.delete(id);
      for (const [key, item] of items) {
        if (item.lease === id) items.delete(key);
      }
      keepPast();
    }
  }
  function put(key, value, lease = 0) {
    revision += 1;
    const created = items.get(key)?.created ?? revision;
    items.set(key, {value, rev: revision, created, lease});
    keepPast();
  }
  function runTransaction({puts = [], remove = []}) {
    dropExpired();
    const isLeased = ({lease = 0}) => lease === 0 || leases.has(lease);
    if (!puts.every(isLeased)) return [404, {}];
    for (const {key, value, lease} of puts) put(key, value, lease);
    for (const key of remove) items.delete(key);
    keepPast();
    return [200, {rev: revision}];
  }
  const format = (key, from = items) => ({key, ...from.get(key)});

  function handle(method, url, body, response) {
    const [, , call, id] = url.pathname.split('/');
    const reply = ([status, value]) => {
      const text = JSON.stringify(value);
      response.writeHead(status, {
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(text),
      });
      response.end(text);
    };
    if (call === 'kv-key') {
      const key = url.searchParams.get('key');
      return reply(
        items.has(key)
          ? [200, {...format(key), asOf: revision}]
          : [404, {asOf: revision}],
      );
    }
    if (call === 'kv-range') {
      const prefix = url.searchParams.get('prefix') ?? '';
      const after = url.searchParams.get('after') ?? '';
      const readAt = performance.now() - staleMs;
      const from =
        url.searchParams.get('allowStale') === '1'
          ? past.findLast(({at}) => at <= readAt).items
          : items;
      const keys = [...from.keys()]
        .filter((key) => key.startsWith(prefix) && key > after)
        .sort();
      return reply([
        200,
        {
          entries: keys.slice(0, 500).map((key) => format(key, from)),
          morePages: keys.length > 500,
          asOf: revision,
        },
      ]);
    }
    if (call === 'kv-lease') {
      lastLease += 1;
      const ttlMs = Math.max(1000, body.ttlMs);
      leases.set(lastLease, {ttlMs, until: Date.now() + ttlMs});
      store.writes += 1;
      return reply([200, {lease: lastLease, ttlMs}]);
    }
    if (call === 'kv-keep') {
      const lease = leases.get(Number(id));
      if (lease === undefined) return reply([404, {}]);
      lease.until = Date.now() + lease.ttlMs;
      return reply([200, {ttlMs: lease.ttlMs}]);
    }
    if (call === 'kv-lease-end') {
      const lease = leases.get(Number(id));
      if (lease !== undefined) lease.until = 0;
      dropExpired();
      return reply([200, {}]);
    }
    if (call === 'kv-txn') {
      store.writes += 1;
      const fate = onWrite(body);
      if (fate === null) return reply(runTransaction(body));
      // The channel of a lost answer returns nothing further.
      setTimeout(() => fate.onDone(runTransaction(body)[0]), fate.lateMs);
      return undefined;
    }
    return reply([400, {}]);
  }

  const server = http.createServer(
    {keepAliveTimeout: 60_000},
    (request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => {
        dropExpired();
        const url = new URL(request.url, 'http://store');
        if (store.mode === 'busy') {
          response.writeHead(503, {'Content-Length': 2}).end('{}');
          return;
        }
        const text = Buffer.concat(chunks).toString();
        handle(
          request.method,
          url,
          text === '' ? {} : JSON.parse(text),
          response,
        );
      });
    },
  );
  const port = await listen(server, host);
  store.address = `${host}:${port}`;
  return Object.assign(store, {
    put: (key, value) =>
      put(key, Buffer.from(JSON.stringify(value)).toString('base64')),
    remove: (key) => items.delete(key),
    listKeys: (prefix) =>
      [...items.keys()].filter((key) => key.startsWith(prefix)).sort(),
    /** All leases run out, as they may while the store is down. */
    lapse() {
      for (const lease of leases.values()) lease.until = 0;
      dropExpired();
    },
    close() {
      server.closeAllConnections();
      server.close();
    },
  });
}

/**
 * Fills in the settings template as DEPLOY.md tells it; only the kinds of
 * placeholders that the template has.
 */
function render(template, fields) {
  const find = (name) =>
    name.split('.').reduce((value, part) => value?.[part], fields);
  const text = (value) =>
    value === undefined ? '' : Array.isArray(value) ? value.join(',') : value;
  return template
    .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_all, name, inner) =>
      find(name) === undefined ? '' : inner,
    )
    .replace(/\{\{([\w.]+)\}\}/g, (_all, name) => text(find(name)));
}

/** The bounds of the sheet of ub-toylend. */
export const BOUNDS = {
  graceS: 8,
  revokeMs: 5000,
  configApplyMs: 2000,
  drainMs: 2000,
  contactMs: 3000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  budgetMinRetries: 54,
};

/** Starts `count` machines with the entry role of the deploy file. */
export function createGateways({count, store, record, storeAddress}) {
  const deploy = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const [program, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
  const templateFile = /^template = "(.*)"$/m.exec(deploy)[1];
  const template = fs.readFileSync(path.join(ROOT, templateFile), 'utf8');
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
  const zones = ['bayangol', 'sukhbaatar', 'khan-uul'];
  const machines = Array.from({length: count}, (_none, index) => {
    const ip = drawAddress();
    return {
      name: `front-${index + 1}`,
      ip,
      zone: zones[index % zones.length],
      front: {host: ip, port: 8625},
      readiness: {host: ip, port: 8621},
      child: null,
      exits: [],
    };
  });
  const seeds = machines.slice(0, 3).map(({ip}) => `${ip}:8628`);

  function start(machine) {
    const file = path.join(folder, `${machine.name}.ini`);
    fs.writeFileSync(
      file,
      render(template, {
        node: machine.name,
        zone: machine.zone,
        ip: machine.ip,
        listen: {
          front: `${machine.ip}:8625`,
          readiness: `${machine.ip}:8621`,
          control: `${machine.ip}:8628`,
        },
        seeds,
        limits: {cpuShare: 0.513, linkMbps: 1000, memoryMb: 350, maxFds: 4100},
        platform: {address: storeAddress ?? store.address},
        bounds: BOUNDS,
      }),
    );
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {PATH: process.env.PATH, HOME: folder, HICKORYWHARF_CONFIG: file},
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    machine.child = child;
    const log = fs.createWriteStream(path.join(folder, `${machine.name}.log`), {
      flags: 'a',
    });
    child.stdout.pipe(log);
    record.add('process started', {machine: machine.name, pid: child.pid});
    child.on('exit', (code, signal) => {
      machine.exits.push({at: seconds(), code, signal});
      record.add('process ended', {machine: machine.name, code, signal});
    });
    return child;
  }

  return {
    machines,
    folder,
    start,
    startAll: () => machines.forEach(start),
    signal(machine, name) {
      record.add(`signal ${name}`, {machine: machine.name});
      machine.child.kill(name);
    },
    async isReady({readiness}) {
      const answer = await send({...readiness, path: '/api/ready'});
      return answer.status === 200;
    },
    /** Waits until all that run are ready. */
    async waitUntilReady(limitMs = 15_000) {
      const until = performance.now() + limitMs;
      for (const machine of machines) {
        while (!(await this.isReady(machine))) {
          if (performance.now() > until) throw new Error('not ready in time');
          await sleep(50);
        }
      }
    },
    /** Ends all processes at once. */
    async stopAll() {
      for (const {child} of machines) {
        if (child === null || child.exitCode !== null || child.signalCode) {
          continue;
        }
        child.kill('SIGCONT');
        child.kill('SIGKILL');
        await new Promise((resolve) => child.once('exit', resolve));
      }
    },
    async close() {
      await this.stopAll();
      if (process.env.KEEP_LOGS !== '1') {
        fs.rmSync(folder, {recursive: true, force: true});
      } else console.log(`logs: ${folder}`);
    },
  };
}

/**
 * A server that registers itself in the store and refreshes its entry. `handle`
 * gets each request that names this server.
 */
export async function createServer({store, service, zone, slots, handle}) {
  const host = drawAddress();
  const id = `i-${drawId().slice(0, 10)}`;
  const born = Date.now();
  const server = http.createServer(
    {keepAliveTimeout: 60_000},
    (request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => {
        if (request.headers['expect-instance'] !== id) {
          response
            .writeHead(421, {'Instance-Id': id, 'Content-Length': 0})
            .end();
          return;
        }
        handle({id, request, response, body: Buffer.concat(chunks)});
      });
    },
  );
  const port = await listen(server, host);
  let seq = 0;
  const beat = () => {
    seq += 1;
    store.put(`servers/${id}`, {
      service,
      address: `${host}:${port}`,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      coldLeftMs: 0,
      seq,
      born,
    });
  };
  beat();
  const timer = setInterval(beat, 1200);
  return {
    id,
    /** Takes the entry out of the store; the server goes on. */
    unregister() {
      clearInterval(timer);
      store.remove(`servers/${id}`);
    },
    close() {
      clearInterval(timer);
      server.closeAllConnections();
      server.close();
    },
  };
}

/**
 * Sends one request on a new channel. Resolves with what the client saw:
 * `isComplete` says whether the answer was whole.
 */
export function send(options) {
  const {
    host,
    port,
    method = 'GET',
    path: target,
    headers = {},
    body,
  } = options;
  return new Promise((resolve) => {
    const result = {
      status: 0,
      body: '',
      isComplete: false,
      endedAt: 0,
      error: '',
    };
    const finish = () => {
      result.endedAt = seconds();
      resolve(result);
    };
    const request = http.request({
      host,
      port,
      method,
      path: target,
      headers,
      agent: false,
      timeout: options.timeoutMs,
    });
    request.on('timeout', () => request.destroy(new Error('client timeout')));
    request.on('error', (error) => {
      result.error ||= error.message;
      finish();
    });
    request.on('response', (response) => {
      result.status = response.statusCode;
      result.headers = response.headers;
      response.on('data', (chunk) => {
        result.body += chunk.toString('latin1');
        options.onData?.(chunk);
      });
      response.on('error', (error) => {
        result.error ||= error.message;
      });
      response.on('close', () => {
        result.isComplete = response.complete;
        finish();
      });
    });
    request.end(body);
  });
}

/** Whether a TCP connection can be opened; for waits on a process. */
export function canConnect({host, port}) {
  return new Promise((resolve) => {
    const socket = net.connect({host, port});
    socket.on('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.on('error', () => resolve(false));
  });
}

/**
 * Runs a case and ends with its exit code: 1 if the rule was broken, 0 if it
 * held, 2 if the case could not run.
 */
export async function runCase(folder, play) {
  const record = createRecord(folder);
  const cleanups = [];
  let code = 2;
  try {
    code = (await play({record, cleanups})) ? 1 : 0;
  } catch (error) {
    record.add('could not run', {error: error.stack});
    console.error(error);
  }
  for (const cleanup of cleanups.reverse()) await cleanup();
  record.add('exit', {code});
  record.write();
  process.exit(code);
}

/**
 * A proxy in front of the store. After `silence`, the channels that are open
 * carry nothing any more and stay open; new ones work.
 */
export async function createProxy(target) {
  const host = drawAddress();
  const [targetHost, targetPort] = target.split(':');
  const pairs = new Set();
  const server = net.createServer((socket) => {
    const upstream = net.connect({host: targetHost, port: Number(targetPort)});
    const pair = {socket, upstream, isSilent: false};
    pairs.add(pair);
    const link = (from, to) => {
      from.on('data', (bytes) => pair.isSilent || to.write(bytes));
      from.on('error', () => undefined);
      from.on('close', () => {
        if (!pair.isSilent) to.destroy();
        if (from === socket) pairs.delete(pair);
      });
    };
    link(socket, upstream);
    link(upstream, socket);
  });
  const port = await listen(server, host);
  return {
    address: `${host}:${port}`,
    silence() {
      for (const pair of pairs) pair.isSilent = true;
      return pairs.size;
    },
    close() {
      for (const {socket, upstream} of pairs) {
        socket.destroy();
        upstream.destroy();
      }
      server.close();
    },
  };
}
