/**
 * An entry of another writer stands among the servers in the store. Three
 * gateways serve streams with one stage; the platform restarts what ends.
 */
import http from 'node:http';
import {
  createConfiguration,
  createEntry,
  createRecord,
  sleep,
  startGateway,
  startStore,
  waitReady,
} from '../lib/standins.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const SECONDS = 20;
/** `damage-report` on the sheet of lusacine-wharf has 11.6 a second. */
const CALLS_PER_SECOND = 11.6;
const RESTART_MILLISECONDS = 500;
/** RULES.md, Fault: three times in the day, on two machines at least. */
const ENDS_OF_A_MACHINE = 3;
const MACHINES_AT_LEAST = 2;
const ZONES = ['lisboa-a', 'lisboa-b', 'lisboa-c'];

const record = createRecord(import.meta.dirname);

function listen(server) {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      resolve(`127.0.0.1:${server.address().port}`);
    });
  });
}

/** Makes pieces in 150 ms a call and 18 ms a piece. */
function startStageServer(id) {
  let last = 0;
  let address = '';
  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', async () => {
      if (request.headers['expect-instance'] !== id) {
        response.writeHead(421, {'Not-Executed': '1', 'Content-Length': 0});
        response.end();
        return;
      }
      let answer = '{}';
      if (request.url === '/api/stage-run') {
        const {entries} = JSON.parse(Buffer.concat(chunks).toString());
        record.write(
          `server ${id}: runs pieces ${entries.map((entry) => `${entry.id}/${entry.piece}`).join(' ')}`,
        );
        await sleep(150 + 18 * entries.length);
        const handles = entries.map(() => {
          last += 1;
          return {handle: `${address}/${last.toString(16)}`};
        });
        answer = JSON.stringify({entries: handles});
      }
      response.writeHead(200, {
        'Content-Type': 'application/json',
        'Content-Length': answer.length,
      });
      response.end(answer);
    });
  });
  return listen(server).then((bound) => {
    address = bound;
    return {server, address};
  });
}

/** Streams three events after it has its inputs. */
function startModelServer(id) {
  const server = http.createServer((request, response) => {
    const requestId = request.headers['request-id'];
    request.resume();
    request.on('end', async () => {
      if (request.headers['inputs'] === undefined) {
        response.writeHead(400, {'Not-Executed': '1', 'Content-Length': 0});
        response.end();
        return;
      }
      record.write(`server ${id}: runs ${requestId}`);
      await sleep(20);
      response.writeHead(200, {
        'Request-Id': requestId,
        'Response-Stamp': `stamp-${requestId}`,
        'Content-Type': 'text/event-stream',
      });
      for (const number of [1, 2, 3]) {
        response.write(`id: ${number}\ndata: token\n\n`);
        await sleep(20);
      }
      response.end();
    });
  });
  return listen(server).then((address) => ({server, address}));
}

const store = await startStore();
store.write(
  'op/config',
  createConfiguration({
    routes: [
      {
        name: 'damage-report',
        host: 'report.example',
        prefix: '/report/',
        routeType: 'stream',
        canResume: true,
        sticky: true,
        service: 'wharf-models',
        timeoutMs: 6000,
        targetLatencyMs: 1000,
        gapTargetMs: 250,
        maxAttempts: 2,
        priority: 0,
        stages: [{service: 'scan-intake', after: [], bytes: 4000}],
      },
    ],
    services: [
      {name: 'wharf-models', maxConns: 360},
      {
        name: 'scan-intake',
        maxConns: 360,
        pieces: {
          slots: 1,
          queue: 2,
          batch: 7,
          callMs: 150,
          itemMs: 18.2857,
          headroomMb: 38.5,
          handleS: 4,
          linkMbps: 10_000,
        },
      },
    ],
  }),
);
const servers = [];
for (const zone of ZONES) {
  const stage = await startStageServer(`i-scan-${zone}`);
  const model = await startModelServer(`i-model-${zone}`);
  servers.push(stage.server, model.server);
  store.write(
    `servers/i-scan-${zone}`,
    createEntry({service: 'scan-intake', address: stage.address, zone}),
  );
  store.write(
    `servers/i-model-${zone}`,
    createEntry({service: 'wharf-models', address: model.address, zone}),
  );
}

const slots = ZONES.map((zone, index) => ({
  zone,
  ip: `127.0.0.${51 + index}`,
  name: `front-${zone}-1`,
  gateway: null,
  ends: 0,
}));
let isOver = false;

async function start(slot) {
  const {name, zone, ip} = slot;
  slot.gateway = await startGateway({name, zone, ip, store, record});
  void slot.gateway.exited.then(async () => {
    if (isOver) return;
    slot.ends += 1;
    await sleep(RESTART_MILLISECONDS);
    if (isOver) return;
    await slot.gateway.end();
    await start(slot);
  });
}

const counts = {};

function call(gateway, id) {
  const [host, port] = gateway.listen.front.split(':');
  return new Promise((resolve) => {
    const request = http.request(
      {
        host,
        port,
        method: 'POST',
        path: `/report/${id}`,
        agent: false,
        headers: {
          Host: 'report.example',
          'Request-Id': id,
          'Time-Left-Ms': 6000,
          Model: 'm',
          'Token-Counts': '9190,51',
          'Prompt-Prefix': '5c1e07a2:6300,91bd3f06:2890',
          Pieces: '2',
          'Piece-Key': `key-${id}`,
        },
      },
      (response) => {
        response.resume();
        response.on('end', () => resolve(response.statusCode));
        response.on('error', () => resolve('broken off'));
      },
    );
    request.on('error', ({code}) => resolve(code));
    request.end('scan log');
  });
}

let exitCode = 2;
await Promise.all(slots.map(start));
const areReady = await Promise.all(
  slots.map(({gateway}) => waitReady(gateway)),
);
if (areReady.every(Boolean)) {
  if (HAS_TROUBLE) {
    record.write('another writer: writes servers/i-foreign');
    const address = '127.0.0.1:80800';
    store.write(
      'servers/i-foreign',
      createEntry({service: 'scan-intake', address}),
    );
    await sleep(2000);
  }
  const calls = [];
  for (let number = 0; number < SECONDS * CALLS_PER_SECOND; number += 1) {
    const {name, gateway} = slots[number % slots.length];
    const id = `c${number}`;
    calls.push(
      call(gateway, id).then((status) => {
        counts[status] = (counts[status] ?? 0) + 1;
        record.write(`client: ${id} through ${name}: ${status}`);
      }),
    );
    await sleep(1000 / CALLS_PER_SECOND);
  }
  await Promise.all(calls);
  isOver = true;
  const broken = slots.filter(({ends}) => ends >= ENDS_OF_A_MACHINE);
  record.write(
    `answers ${JSON.stringify(counts)}; ends ${slots.map(({name, ends}) => `${name} ${ends}`).join(', ')}`,
  );
  exitCode = broken.length >= MACHINES_AT_LEAST ? 1 : 0;
  record.write(exitCode === 1 ? 'Fault: the rule is broken' : 'rule held');
}
isOver = true;
for (const {gateway} of slots) await gateway.end();
for (const server of servers) {
  server.close();
  server.closeAllConnections();
}
store.close();
await record.close();
process.exit(exitCode);
