/**
 * A machine freezes for 4 s and wakes. More than `contactMs` later clients start
 * streams there, and the platform stops the machine as planned, by SIGTERM. The
 * servers finish each stream before the last sixth of `graceS`.
 */
import {
  BOUNDS,
  createGateways,
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

const FREEZE_MS = 4000;
/** More than `contactMs` after the freeze. */
const QUIET_MS = 3100;
const STREAMS = 12;
const EVENTS = 67;
const EVENT_MS = 100;
const TIME_LIMIT_MS = 15_000;
/** The first stream starts so long before the SIGTERM, the last 0.3 s before. */
const LEAD_MS = 800;
const LAST_LEAD_MS = 300;

const createConfiguration = () => ({
  version: 3,
  routes: [
    {
      name: 'r-chat',
      host: 'chat.example',
      prefix: '/chat/',
      routeType: 'stream',
      timeoutMs: TIME_LIMIT_MS,
      targetLatencyMs: 1500,
      gapTargetMs: 250,
      priority: 2,
      service: 'assistant',
      maxAttempts: 2,
      stages: [],
      public: true,
      sticky: false,
      canResume: true,
    },
  ],
  services: [{name: 'assistant', healthPath: '/health', maxConns: 360}],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
  },
});

await runCase(import.meta.dirname, async ({record, cleanups}) => {
  const store = await createStore();
  cleanups.push(() => store.close());
  store.put('op/config', createConfiguration());

  /** What the servers saw of each request. */
  const runs = new Map();
  function serveStream({id, request, response}) {
    const requestId = request.headers['request-id'];
    const first = Number(request.headers['last-event-id'] ?? 0);
    const run = {server: id, startedAt: seconds(), doneAt: null, leftAt: null};
    runs.set(requestId, [...(runs.get(requestId) ?? []), run]);
    record.add('server runs', {request: requestId, server: id, after: first});
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Request-Id': requestId,
      'Response-Stamp': `${id}.${requestId}.${first}`,
    });
    let sent = first;
    const timer = setInterval(() => {
      sent += 1;
      response.write(`id: ${sent}\ndata: ${requestId} ${sent}\n\n`);
      if (sent < EVENTS) return;
      clearInterval(timer);
      run.doneAt = seconds();
      response.end();
    }, EVENT_MS);
    response.on('close', () => {
      clearInterval(timer);
      if (run.doneAt === null) run.leftAt = seconds();
      record.add('server ends', {
        request: requestId,
        server: id,
        events: sent,
        done: run.doneAt !== null,
      });
    });
  }
  for (const zone of ['bayangol', 'sukhbaatar', 'khan-uul']) {
    const options = {store, service: 'assistant', zone, slots: 64};
    const server = await createServer({...options, handle: serveStream});
    cleanups.push(() => server.close());
  }

  const gateways = createGateways({count: 3, store, record});
  cleanups.push(() => gateways.close());
  gateways.startAll();
  await gateways.waitUntilReady();
  await sleep(3000);

  const [machine] = gateways.machines;
  if (!isCalm) gateways.signal(machine, 'SIGSTOP');
  await sleep(FREEZE_MS);
  if (!isCalm) gateways.signal(machine, 'SIGCONT');
  await sleep(QUIET_MS);

  const calls = [];
  function startCall() {
    const requestId = drawId();
    const call = {requestId, sentAt: seconds(), answer: null};
    record.add('client sends', {request: requestId, to: machine.name});
    call.whenDone = send({
      ...machine.front,
      method: 'POST',
      path: '/chat/1',
      headers: {
        Host: 'chat.example',
        'Request-Id': requestId,
        'Time-Left-Ms': TIME_LIMIT_MS,
        'Content-Length': 4,
      },
      body: 'text',
      timeoutMs: TIME_LIMIT_MS,
    }).then((answer) => {
      call.answer = answer;
      const events = answer.body.split('\n\n').length - 1;
      record.add('client gets', {
        request: requestId,
        status: answer.status,
        events,
        complete: answer.isComplete,
      });
    });
    calls.push(call);
  }
  for (let index = 0; index < STREAMS; index += 1) {
    startCall();
    await sleep((LEAD_MS - LAST_LEAD_MS) / STREAMS);
  }
  await sleep(LAST_LEAD_MS);

  const stoppedAt = seconds();
  gateways.signal(machine, 'SIGTERM');
  const killTimer = setTimeout(
    () => machine.exits.length === 0 && gateways.signal(machine, 'SIGKILL'),
    BOUNDS.graceS * 1000,
  );
  await Promise.all(calls.map(({whenDone}) => whenDone));
  clearTimeout(killTimer);

  /** From here on a server that is still at work is an excuse. */
  const lastSixthAt = stoppedAt + (BOUNDS.graceS * 5) / 6;
  let lost = 0;
  for (const {requestId, sentAt, answer} of calls) {
    const seen = runs.get(requestId) ?? [];
    // What the server would have done without the end of its channel.
    const wouldEndAt =
      Math.max(...seen.map(({startedAt}) => startedAt)) +
      (EVENTS * EVENT_MS) / 1000;
    const isAtWorkLate = seen.some(
      ({doneAt, leftAt}) => (doneAt ?? leftAt ?? Infinity) >= lastSixthAt,
    );
    const isLate = answer.endedAt - sentAt >= TIME_LIMIT_MS / 1000;
    const isLost =
      seen.length > 0 && !answer.isComplete && !isAtWorkLate && !isLate;
    if (isLost) lost += 1;
    record.add('judged', {
      request: requestId,
      lost: isLost,
      endedAfterSigterm: (answer.endedAt - stoppedAt).toFixed(2),
      serverWouldEndAfterSigterm: (wouldEndAt - stoppedAt).toFixed(2),
    });
  }
  console.log(`${lost} of ${calls.length} streams lost`);
  record.add('LOST', {count: lost, of: calls.length});
  if (calls.some(({requestId}) => !runs.has(requestId))) {
    throw new Error('a request reached no server');
  }
  return lost > 0;
});
