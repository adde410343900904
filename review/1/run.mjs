/**
 * One server sends one answer of wrong bytes: a line of its head holds many
 * spaces and then a byte that no head may hold.
 */
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
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
/** `reel-checkout` on the sheet of lusacine-wharf, for one of three machines. */
const CALLS_PER_SECOND = 2.81;
/** How long the callers go on after the spoiled answer, and at most. */
const SECONDS_AFTER = 20;
const MAXIMUM_SECONDS = 75;
const TIMEOUT_MILLISECONDS = 4000;
/** RULES.md, CONFIG: "half a second later". */
const LATER_MILLISECONDS = 500;
const WORK_MILLISECONDS = 86;
/**
 * The answer of a server that is spoiled: one of its first 51, less than the
 * share of 0.02 that `garble` spoils. It happens once, at one server.
 */
const SPOILED_ANSWER = 51;
/** The head is far below the 65,536 bytes that the product reads. */
const SPACES = 4000;
const ZONES = ['lisboa-a', 'lisboa-b', 'lisboa-c'];

const record = createRecord(import.meta.dirname);
/** When the answer was due that is spoiled; null before. */
let spoiledAt = null;

function startServer(id) {
  let answers = 0;
  const server = net.createServer((socket) => {
    let text = '';
    socket.on('error', () => undefined);
    socket.on('data', async (chunk) => {
      text += chunk.toString('latin1');
      const end = text.indexOf('\r\n\r\n');
      const length = Number(/\ncontent-length: (\d+)/i.exec(text)?.[1] ?? 0);
      if (end < 0 || text.length < end + 4 + length) return;
      const requestId = /\nrequest-id: (\S+)/i.exec(text)[1];
      text = '';
      answers += 1;
      const isMoment = spoiledAt === null && answers === SPOILED_ANSWER;
      if (isMoment) spoiledAt = performance.now();
      const isSpoiled = isMoment && HAS_TROUBLE;
      record.write(`server ${id}: runs ${requestId}`);
      await sleep(WORK_MILLISECONDS);
      if (isSpoiled) {
        record.write(
          `server ${id}: sends wrong bytes in answer to ${requestId}`,
        );
        socket.write(`HTTP/1.1 200 OK\r\nX-Desk:${' '.repeat(SPACES)}\x00\r\n`);
        socket.end();
        return;
      }
      socket.write(
        `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Stamp: s-${requestId}\r\nContent-Length: 6\r\n\r\nbooked`,
      );
    });
  });
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve(server));
  });
}

const store = await startStore();
store.write(
  'op/config',
  createConfiguration({
    routes: [
      {
        name: 'reel-checkout',
        host: 'desk.example',
        prefix: '/checkout/',
        routeType: 'non_idempotent',
        service: 'reel-desk',
        timeoutMs: TIMEOUT_MILLISECONDS,
        targetLatencyMs: 386,
        maxAttempts: 1,
        priority: 2,
      },
    ],
    services: [{name: 'reel-desk', maxConns: 96}],
  }),
);
const servers = [];
for (const zone of ZONES) {
  const id = `i-desk-${zone}`;
  const server = await startServer(id);
  servers.push(server);
  const address = `127.0.0.1:${server.address().port}`;
  store.write(
    `servers/${id}`,
    createEntry({service: 'reel-desk', address, zone}),
  );
}
const gateway = await startGateway({
  name: 'front-lisboa-a-1',
  zone: 'lisboa-a',
  ip: '127.0.0.81',
  store,
  record,
});

/** Processor time of the gateway, in seconds. */
function readProcessorSeconds() {
  const text = fs.readFileSync(`/proc/${gateway.child.pid}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / 100;
}

/** Resolves with the milliseconds until the answer; null if none came. */
function call(id) {
  const [host, port] = gateway.listen.front.split(':');
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const request = http.request(
      {
        host,
        port,
        method: 'POST',
        path: `/checkout/${id}`,
        agent: false,
        headers: {
          Host: 'desk.example',
          'Request-Id': id,
          'Time-Left-Ms': TIMEOUT_MILLISECONDS,
        },
      },
      (response) => {
        response.resume();
        response.on('end', () => {
          const elapsed = performance.now() - sentAt;
          record.write(
            `client: ${id}: ${response.statusCode} after ${Math.round(elapsed)} ms`,
          );
          clearTimeout(timer);
          resolve(elapsed);
        });
      },
    );
    const timer = setTimeout(() => {
      record.write(`client: ${id}: no answer, leaves`);
      request.destroy();
      resolve(null);
    }, TIMEOUT_MILLISECONDS + LATER_MILLISECONDS);
    request.on('error', () => undefined);
    request.end('print 7');
  });
}

let exitCode = 2;
if (await waitReady(gateway)) {
  const startedAt = performance.now();
  const calls = [];
  const isOver = () => {
    const now = performance.now();
    return spoiledAt === null
      ? now - startedAt > MAXIMUM_SECONDS * 1000
      : now - spoiledAt > SECONDS_AFTER * 1000;
  };
  for (let number = 0; !isOver(); number += 1) {
    calls.push(call(`c${number}`));
    await sleep(1000 / CALLS_PER_SECOND);
  }
  const isReady = await gateway.isReady();
  const times = await Promise.all(calls);
  const overdue = times.filter(
    (time) => time === null || time > TIMEOUT_MILLISECONDS,
  );
  const unanswered = overdue.filter((time) => time === null);
  const elapsed = (performance.now() - startedAt) / 1000;
  record.write(
    `gateway: ready ${isReady}, ${readProcessorSeconds().toFixed(1)} s of processor time in all, ${elapsed.toFixed(1)} s after the first request`,
  );
  record.write(
    `${times.length} requests, ${overdue.length} unanswered at timeoutMs, ${unanswered.length} of these half a second later`,
  );
  // Without the moment of the disruption the case did not run.
  if (spoiledAt !== null)
    exitCode = unanswered.length * 2 > overdue.length ? 1 : 0;
  const verdicts = ['rule held', 'CONFIG: the rule is broken', 'did not run'];
  record.write(verdicts[exitCode]);
}
await gateway.end();
for (const server of servers) server.close();
store.close();
await record.close();
process.exit(exitCode);
