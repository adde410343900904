/**
 * The open channels to the store go silent, and new ones work. Meanwhile a
 * server leaves: its entry is removed, it goes on for `drainMs` and a little
 * longer, and exits.
 */
import {
  BOUNDS,
  createGateways,
  createProxy,
  createServer,
  createStore,
  drawId,
  runCase,
  seconds,
  send,
  sleep,
} from '../lib-3/harness.mjs';

/** Whether the disruption is left out. */
const isCalm = process.env.TROUBLE === '0';

const SERVICE = 'desk';
const ROUNDS = 9;
const WORK_MS = 150;
const RATE_PER_S = 150;
const TIME_LIMIT_MS = 1000;
/** After the channels went silent. */
const LEAVE_MS = 300;
/** After the entry was removed; `drainMs` and a little longer. */
const EXIT_MS = 3600;
/** More than `contactMs` after the start. */
const START_MS = 4500;
const ZONES = ['bayangol', 'sukhbaatar', 'khan-uul'];

const CONFIGURATION = {
  version: 3,
  routes: [
    {
      name: 'r-checkout',
      host: 'desk.example',
      prefix: '/checkout/',
      routeType: 'non_idempotent',
      timeoutMs: TIME_LIMIT_MS,
      targetLatencyMs: 300,
      priority: 2,
      service: SERVICE,
      maxAttempts: 1,
      stages: [],
      public: true,
      sticky: false,
      canResume: false,
    },
  ],
  services: [{name: SERVICE, healthPath: '/health', maxConns: 96}],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
  },
};

await runCase(import.meta.dirname, async ({record, cleanups}) => {
  const store = await createStore();
  cleanups.push(() => store.close());
  store.put('op/config', CONFIGURATION);
  const proxy = await createProxy(store.address);
  cleanups.push(() => proxy.close());

  const runs = [];
  function serve({id, request, response}) {
    const requestId = request.headers['request-id'];
    const run = {requestId, server: id, at: seconds(), isDone: false};
    runs.push(run);
    record.add('server runs', {request: requestId, server: id});
    setTimeout(() => {
      if (response.destroyed) return;
      run.isDone = true;
      response.writeHead(200, {
        'Request-Id': requestId,
        'Response-Stamp': `${id}.${requestId}`,
        'Content-Length': 2,
      });
      response.end('ok');
    }, WORK_MS);
  }
  const startServer = async (zone) => {
    const options = {store, service: SERVICE, zone, slots: 6, handle: serve};
    const server = await createServer(options);
    cleanups.push(() => server.close());
    return server;
  };
  const servers = [];
  for (const zone of ZONES) servers.push(await startServer(zone));

  const gateways = createGateways({
    count: 3,
    store,
    record,
    storeAddress: proxy.address,
  });
  cleanups.push(() => gateways.close());

  const answers = new Map();
  const sentAt = new Map();
  const open = new Set();
  let next = 0;
  function sendCall() {
    const machine = gateways.machines[next % gateways.machines.length];
    next += 1;
    const requestId = drawId();
    sentAt.set(requestId, seconds());
    record.add('client sends', {request: requestId, to: machine.name});
    const call = send({
      ...machine.front,
      method: 'POST',
      path: '/checkout/1',
      headers: {
        Host: 'desk.example',
        'Request-Id': requestId,
        'Time-Left-Ms': TIME_LIMIT_MS,
        'Content-Length': 4,
      },
      body: 'book',
      timeoutMs: TIME_LIMIT_MS,
    }).then(({status}) => {
      open.delete(call);
      answers.set(requestId, status);
      record.add('client gets', {request: requestId, status});
    });
    open.add(call);
  }

  /** The machines start at the same moment, as they do each day. */
  async function playRound(zone) {
    servers.push(await startServer(zone));
    gateways.startAll();
    await gateways.waitUntilReady();
    await sleep(START_MS + Math.random() * 900);
    const timer = setInterval(sendCall, 1000 / RATE_PER_S);
    const silentAt = seconds();
    if (!isCalm) {
      record.add('channels to the store silent', {count: proxy.silence()});
    }
    await sleep(LEAVE_MS);
    const server = servers.shift();
    server.unregister();
    const goneAt = seconds();
    record.add('server leaves', {server: server.id});
    await sleep(EXIT_MS);
    server.close();
    record.add('server exits', {server: server.id});
    await sleep(500);
    clearInterval(timer);
    await Promise.all(open);
    await gateways.stopAll();
    return {id: server.id, silentAt, goneAt};
  }
  const departures = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    departures.push(await playRound(ZONES[round % ZONES.length]));
  }

  let late = 0;
  let lost = 0;
  for (const {id, silentAt, goneAt} of departures) {
    // Silent channels count as a reset of the channels of all machines.
    const inTouchFrom = isCalm ? 0 : silentAt + BOUNDS.contactMs / 1000;
    const broken = runs.filter(
      ({requestId, server, at}) =>
        server === id &&
        at > goneAt + BOUNDS.drainMs / 1000 &&
        sentAt.get(requestId) > inTouchFrom,
    );
    const cut = broken.filter(({isDone}) => !isDone);
    late += broken.length;
    lost += cut.length;
    record.add('judged', {
      server: id,
      late: broken.length,
      lastAfterRemoval: (
        Math.max(goneAt, ...broken.map(({at}) => at)) - goneAt
      ).toFixed(2),
      cutOff: cut.map(
        ({requestId}) => `${requestId}:${answers.get(requestId)}`,
      ),
    });
  }
  console.log(`${late} late requests, ${lost} of them cut off`);
  record.add('DRAIN', {late, cutOff: lost});
  return late > 0;
});
