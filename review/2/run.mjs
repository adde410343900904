/**
 * The settings file changes: `graceS` becomes a fraction. Later the gateway is
 * stopped as planned while it serves requests.
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
const GRACE_SECONDS = 8;
const CHANGED_GRACE_SECONDS = 8.5;
/** `repair-caption` on the sheet of lusacine-wharf: 93 events out. */
const EVENTS = 93;
const EVENT_INTERVAL_MILLISECONDS = 55;
/** A booking that takes longer than usual, inside its time limit of 4 s. */
const BOOKING_MILLISECONDS = 3500;
const STREAMS = 4;
const BOOKINGS = 4;

const record = createRecord(import.meta.dirname);

function startServer(answer) {
  const server = http.createServer((request, response) => {
    const id = request.headers['request-id'];
    request.resume();
    request.on('end', async () => {
      record.write(`server: runs ${id}`);
      const headers = {'Request-Id': id, 'Response-Stamp': `stamp-${id}`};
      await answer(response, headers);
      record.write(
        `server: ${response.destroyed ? 'was cut off from' : 'ended'} ${id}`,
      );
    });
  });
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve(server));
  });
}

const model = await startServer(async (response, headers) => {
  response.writeHead(200, {...headers, 'Content-Type': 'text/event-stream'});
  for (let number = 1; number <= EVENTS; number += 1) {
    response.write(`id: ${number}\ndata: token token token\n\n`);
    await sleep(EVENT_INTERVAL_MILLISECONDS);
  }
  response.end();
});
const desk = await startServer(async (response, headers) => {
  await sleep(BOOKING_MILLISECONDS);
  response.writeHead(200, {...headers, 'Content-Length': 6});
  response.end('booked');
});

const store = await startStore();
store.write(
  'op/config',
  createConfiguration({
    routes: [
      {
        name: 'repair-caption',
        host: 'caption.example',
        prefix: '/caption/',
        routeType: 'stream',
        service: 'wharf-models',
        timeoutMs: 15_000,
        targetLatencyMs: 2200,
        gapTargetMs: 250,
        maxAttempts: 2,
        priority: 2,
      },
      {
        name: 'reel-checkout',
        host: 'desk.example',
        prefix: '/checkout/',
        routeType: 'non_idempotent',
        service: 'reel-desk',
        timeoutMs: 4000,
        targetLatencyMs: 386,
        maxAttempts: 1,
        priority: 2,
      },
    ],
    services: [
      {name: 'wharf-models', maxConns: 360},
      {name: 'reel-desk', maxConns: 96},
    ],
  }),
);
for (const [id, service, server] of [
  ['i-model', 'wharf-models', model],
  ['i-desk', 'reel-desk', desk],
]) {
  const address = `127.0.0.1:${server.address().port}`;
  store.write(`servers/${id}`, createEntry({service, address}));
}
const gateway = await startGateway({
  name: 'front-lisboa-a-1',
  zone: 'lisboa-a',
  ip: '127.0.0.61',
  store,
  record,
});

/** Resolves with whether the whole answer arrived. */
function call(id, hostName, path, limitMilliseconds, isWhole) {
  const [host, port] = gateway.listen.front.split(':');
  return new Promise((resolve) => {
    let body = '';
    const finish = (status, end) => {
      const whole = status === 200 && end === 'ended' && isWhole(body);
      record.write(
        `client: ${id}: status ${status}, ${body.length} bytes, ${end}, ${whole ? 'whole' : 'NOT WHOLE'}`,
      );
      resolve(whole);
    };
    const request = http.request(
      {
        host,
        port,
        method: 'POST',
        path,
        agent: false,
        headers: {
          Host: hostName,
          'Request-Id': id,
          'Time-Left-Ms': limitMilliseconds,
        },
      },
      (response) => {
        response.on('data', (chunk) => (body += chunk));
        response.on('end', () => finish(response.statusCode, 'ended'));
        response.on('error', ({code}) => finish(response.statusCode, code));
      },
    );
    request.on('error', ({code}) => finish('none', code));
    request.end('reel 7');
  });
}

let exitCode = 2;
if (await waitReady(gateway)) {
  const grace = HAS_TROUBLE ? CHANGED_GRACE_SECONDS : GRACE_SECONDS;
  record.write(`platform: settings file, graceS = ${grace}, and SIGHUP`);
  gateway.changeBound('graceS', grace);
  gateway.child.kill('SIGHUP');
  await sleep(3000);
  const calls = [];
  for (let number = 0; number < STREAMS; number += 1) {
    calls.push(
      call(
        `s${number}`,
        'caption.example',
        `/caption/${number}`,
        15_000,
        (body) => body.includes(`id: ${EVENTS}\n`),
      ),
    );
  }
  for (let number = 0; number < BOOKINGS; number += 1) {
    calls.push(
      call(
        `b${number}`,
        'desk.example',
        `/checkout/${number}`,
        4000,
        (body) => body === 'booked',
      ),
    );
  }
  await sleep(500);
  record.write('platform: SIGTERM');
  const stoppedAt = performance.now();
  gateway.child.kill('SIGTERM');
  const killTimer = setTimeout(() => {
    record.write('platform: SIGKILL after graceS');
    gateway.child.kill('SIGKILL');
  }, grace * 1000);
  const results = await Promise.all(calls);
  await gateway.exited;
  clearTimeout(killTimer);
  const elapsed = Math.round(performance.now() - stoppedAt);
  const lost = results.filter((isWhole) => !isWhole).length;
  record.write(
    `${lost} of ${results.length} requests without a whole answer; the gateway ended ${elapsed} ms after the SIGTERM`,
  );
  exitCode = lost > 0 ? 1 : 0;
  record.write(lost > 0 ? 'LOST: the rule is broken' : 'rule held');
}
await gateway.end();
for (const server of [model, desk]) {
  server.close();
  server.closeAllConnections();
}
store.close();
await record.close();
process.exit(exitCode);
