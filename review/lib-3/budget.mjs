/**
 * Plays one service that is full, as more clients come than it can serve, and
 * judges the rule BUDGET by what clients sent and servers received.
 */
import {
  BOUNDS,
  createGateways,
  createServer,
  createStore,
  drawId,
  seconds,
  send,
  sleep,
} from './harness.mjs';

const TIME_LIMIT_MS = 4000;
const SERVICE = 'desk';

const CONFIGURATION = {
  version: 3,
  routes: [
    {
      name: 'r-checkout',
      host: 'desk.example',
      prefix: '/checkout/',
      routeType: 'non_idempotent',
      timeoutMs: 2000,
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

/**
 * Starts the store, three servers of one slot and a queue of two, and the
 * gateways. The servers turn away what they have no room for.
 */
export async function startDesk({
  record,
  cleanups,
  gatewayCount,
  workMs,
  ...rest
}) {
  const store = await createStore(rest);
  cleanups.push(() => store.close());
  store.put('op/config', CONFIGURATION);
  /** Times of the arrivals at the servers, by request. */
  const arrivals = new Map();
  const createHandler = () => {
    const held = [];
    const runNext = () => {
      const [next] = held;
      if (next === undefined) return;
      setTimeout(() => {
        held.shift();
        next();
        runNext();
      }, workMs);
    };
    return ({id, request, response}) => {
      const requestId = request.headers['request-id'];
      const at = seconds();
      arrivals.set(requestId, [...(arrivals.get(requestId) ?? []), at]);
      if (held.length >= 3) {
        record.add('server full', {request: requestId, server: id});
        const headers = {'Not-Executed': '1', 'Content-Length': 0};
        response.writeHead(503, headers).end();
        return;
      }
      record.add('server runs', {request: requestId, server: id});
      held.push(() => {
        response.writeHead(200, {
          'Request-Id': requestId,
          'Response-Stamp': `${id}.${requestId}`,
          'Content-Length': 2,
        });
        response.end('ok');
      });
      if (held.length === 1) runNext();
    };
  };
  for (const zone of ['bayangol', 'sukhbaatar', 'khan-uul']) {
    const options = {store, service: SERVICE, zone, slots: 1};
    const server = await createServer({...options, handle: createHandler()});
    cleanups.push(() => server.close());
  }
  const gateways = createGateways({count: gatewayCount, store, record});
  cleanups.push(() => gateways.close());
  return {store, gateways, arrivals};
}

/** Clients send at a steady rate to the machines in turn. */
export function startClients({gateways, record, ratePerS}) {
  const sentAt = [];
  const open = new Set();
  let next = 0;
  const timer = setInterval(() => {
    const machine = gateways.machines[next % gateways.machines.length];
    next += 1;
    const requestId = drawId();
    sentAt.push(seconds());
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
    }).then(({status, error}) => {
      open.delete(call);
      record.add('client gets', {request: requestId, status, error});
    });
    open.add(call);
  }, 1000 / ratePerS);
  return {
    sentAt,
    async stop() {
      clearInterval(timer);
      await Promise.all(open);
    },
  };
}

/**
 * The largest excess over the rule's bound in any window. The requests are
 * those of the window, of the one before it, or of the one half a window before
 * it, whichever has most.
 */
export function judgeBudget({arrivals, sentAt, record}) {
  const {budgetWindowS: size, budgetMinRetries, retryBudgetRatio} = BOUNDS;
  const repeats = [...arrivals.values()]
    .flatMap((times) => times.slice(1))
    .sort((left, right) => left - right);
  const countIn = (times, from) =>
    times.filter((time) => time >= from && time < from + size).length;
  let worst = null;
  for (const start of repeats) {
    const used = countIn(repeats, start);
    const requests = Math.max(
      ...[0, size / 2, size].map((before) => countIn(sentAt, start - before)),
    );
    const bound = retryBudgetRatio * requests + budgetMinRetries;
    const excess = used - bound;
    if (worst === null || excess > worst.excess) {
      worst = {from: start.toFixed(3), used, requests, bound, excess};
    }
  }
  record.add('BUDGET', worst ?? {used: 0});
  console.log(worst);
  return worst !== null && worst.excess > 0;
}

export {sleep};
