import test from 'ava';
import {createEndpointHealth} from 'hickorywharf-decisions/gateway/createEndpointHealth';
import {createRetryBudget} from 'hickorywharf-decisions/gateway/createRetryBudget';
import type {ResponseHead} from 'hickorywharf-types/gateway/responseHead';
import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import type {PieceOutcome} from 'hickorywharf-types/gateway/pieceOutcome';
import type {StatedRateLimit} from 'hickorywharf-types/gateway/statedRateLimit';
import type {StageResult} from 'hickorywharf-types/gateway/stageResult';
import {sleep} from 'hickorywharf-utils/sleep';
import {ok} from 'neverthrow';
import {createEndpointLimiter} from '../createEndpointLimiter.ts';
import {createGatewayMetrics} from '../createGatewayMetrics.ts';
import {createGatewayState} from '../createGatewayState.ts';
import {createStageDispatcher} from '../createStageDispatcher.ts';
import type {EndpointRequest} from '../endpointRequest.ts';
import {TEST_ORDER} from './testOrder.ts';

interface SentCall {
  readonly request: EndpointRequest;
  readonly endpoint: number;
  readonly path: string;
  isAborted: boolean;
}

const CALL_MILLISECONDS = 20;
/** A dispatcher with endpoints that respond only when a test calls `respond`. */
const TICK_MILLISECONDS = 5;
const MAXIMUM_WAIT_MILLISECONDS = 5000;

/**
 * Waits until a condition holds. Returns the milliseconds until then, of which
 * a pause of the test process counts for two ticks at most.
 */
async function measureWait(holds: () => boolean): Promise<number> {
  const deadline = performance.now() + MAXIMUM_WAIT_MILLISECONDS;
  let elapsed = 0;
  while (!holds() && performance.now() < deadline) {
    const tickedAt = performance.now();
    await sleep(TICK_MILLISECONDS);
    elapsed += Math.min(performance.now() - tickedAt, 2 * TICK_MILLISECONDS);
  }
  return elapsed;
}

function createTestDispatcher(
  endpoints: number,
  roomBytes = 1000,
  callMilliseconds = CALL_MILLISECONDS,
  retryAllowance = 50,
  slots = 1,
) {
  const calls: SentCall[] = [];
  const outcomes: PieceOutcome[] = [];
  const state = createGatewayState({
    name: 'x',
    failureDomain: 'a',
    capacity: 1,
    lapseMilliseconds: 2000,
  });
  const listEndpoints = (startedAt: number): void =>
    void state.directory.update(
      Array.from({length: endpoints}, (_value, index) => ({
        id: `scan-${index}`,
        service: 'scan',
        host: 'h',
        port: index,
        failureDomain: index === 0 ? 'a' : 'b',
        isDraining: false,
        startedAt,
        version: 'v1',
        slots: 1,
      })),
      {monotonic: 0, wall: 0},
    );
  listEndpoints(1);
  const stage = {
    slots,
    waiting: 2,
    batch: 4,
    callMilliseconds,
    pieceMilliseconds: 1,
    roomBytes,
    keepMilliseconds: 4000,
  };
  state.configuration = {
    services: new Map([
      ['scan', {name: 'scan', maximumConnections: 9, stage, engine: null}],
    ]),
  } as unknown as GatewayConfiguration;
  const lines: string[] = [];
  const log = {
    infoRateLimited: (message: string) => void lines.push(message),
    infoAlways: () => undefined,
  };
  const metrics = createGatewayMetrics();
  const dispatcher = createStageDispatcher({
    state,
    wire: {
      stageRun: {method: 'POST', path: '/run'},
      stageFree: {method: 'POST', path: '/free'},
      formatPieces: (pieces: readonly unknown[]) => JSON.stringify(pieces),
      parsePieceOutcomes: () => ok(outcomes.splice(0)),
      formatFree: (handles: readonly string[]) => JSON.stringify(handles),
      formatStageHeaders: () => [],
    } as unknown as GatewayWireFormat,
    endpointClient: {
      send(request) {
        const {port, path} = request;
        const call = {request, endpoint: port, path, isAborted: false};
        calls.push(call);
        return {
          abort: () => void (call.isAborted = true),
          pause: () => undefined,
          resume: () => undefined,
        };
      },
      reserve: () => ({release: () => undefined}),
      close: () => undefined,
    },
    health: createEndpointHealth(),
    budget: createRetryBudget({
      ratio: 1,
      windowMilliseconds: 10_000,
      allowance: retryAllowance,
    }),
    limiter: createEndpointLimiter({
      name: 'x',
      incarnation: 'x-1',
      state,
      log,
      metrics,
      onLeaving: (endpoint) =>
        void state.directory.recordLeaving(endpoint, {monotonic: 0, wall: 0}),
      now: () => performance.now(),
    }),
    log,
    metrics,
    now: () => performance.now(),
  });
  let rateLimit: StatedRateLimit = {tag: 'none'};
  let isLeaving = false;
  function respond(call: SentCall, ...next: readonly PieceOutcome[]): void {
    outcomes.push(...next);
    const retryAfter = {tag: 'none'} as const;
    const head = {status: 200, rateLimit, isLeaving, retryAfter};
    call.request.onHead(head as ResponseHead, true);
    call.request.onEnd(true);
  }
  /** Responds that the endpoint wants no calls for this time. */
  function turnAway(call: SentCall, milliseconds: number): void {
    const retryAfter = {tag: 'named', milliseconds} as const;
    const head = {status: 503, rateLimit, isLeaving, retryAfter};
    call.request.onHead(head as ResponseHead, true);
    call.request.onEnd(true);
  }
  const made = (...handles: readonly string[]) =>
    handles.map((handle): PieceOutcome => ({tag: 'made', handle}));
  const setRateLimit = (limit: StatedRateLimit): void => {
    rateLimit = limit;
  };
  const setLeaving = (): void => {
    isLeaving = true;
  };
  const restartAll = (): void => {
    isLeaving = false;
    listEndpoints(2);
    dispatcher.refresh();
  };
  const removeStage = (): void => {
    state.configuration = {
      services: new Map(),
    } as unknown as GatewayConfiguration;
    dispatcher.refresh();
  };
  const isOverdue = (): boolean => lines.includes('stage call overdue');
  const listPaths = (): string[] => calls.map(({path}) => path);
  return {
    dispatcher,
    calls,
    lines,
    removeStage,
    isOverdue,
    listPaths,
    respond,
    turnAway,
    made,
    setRateLimit,
    setLeaving,
    restartAll,
  };
}

test('pieces of several requests go into one call', async (t) => {
  const {dispatcher, calls} = createTestDispatcher(1);
  dispatcher.order(TEST_ORDER, () => undefined);
  dispatcher.order({...TEST_ORDER, requestId: 's'}, () => undefined);
  await sleep(5);
  t.is(calls.length, 1);
  t.is(JSON.parse(String(calls[0]!.request.body)).length, 4);
});

test('a batch has as many pieces as the endpoint has memory for', async (t) => {
  const {dispatcher, calls} = createTestDispatcher(1, 410);
  dispatcher.order(TEST_ORDER, () => undefined);
  dispatcher.order({...TEST_ORDER, requestId: 's'}, () => undefined);
  await sleep(5);
  t.is(JSON.parse(String(calls[0]!.request.body)).length, 4);
});

test('a free that failed on a closed connection is retried on a new one', async (t) => {
  const {dispatcher, calls, respond, made} = createTestDispatcher(1);
  dispatcher.order(TEST_ORDER, () => undefined);
  await sleep(5);
  respond(calls[0]!, ...made('a', 'b'));
  dispatcher.free(['a', 'b']);
  await sleep(30);
  t.is(calls[1]?.path, '/free');
  calls[1]!.request.onFailure({tag: 'unknown', message: 'closed'});
  t.is(calls[2]?.path, '/free');
  t.true(calls[2]!.request.needsNewConnection);
  t.deepEqual(JSON.parse(String(calls[2]!.request.body)), ['a', 'b']);
});

test('memory counts as free only when its endpoint has confirmed the free', async (t) => {
  const {dispatcher, calls, respond, made} = createTestDispatcher(1, 220);
  dispatcher.order(TEST_ORDER, () => undefined);
  await sleep(5);
  respond(calls[0]!, ...made('a', 'b'));
  dispatcher.order({...TEST_ORDER, requestId: 's'}, () => undefined);
  dispatcher.free(['a', 'b']);
  await sleep(30);
  t.deepEqual(
    calls.map(({path}) => path),
    ['/run', '/free'],
  );
  respond(calls[1]!);
  await sleep(5);
  t.is(calls[2]?.path, '/run');
});

test('a call that times out is retried elsewhere, and its endpoint is avoided', async (t) => {
  const {dispatcher, calls, respond, made} = createTestDispatcher(2);
  const results: StageResult[] = [];
  dispatcher.order(TEST_ORDER, (result) => results.push(result));
  await sleep(5);
  const slow = calls[0]!;
  const waited = await measureWait(() => calls.length > 1);
  t.true(waited <= CALL_MILLISECONDS * 2 + 200);
  t.not(calls[1]!.endpoint, slow.endpoint);
  t.false(slow.isAborted, 'a silent endpoint may still answer');
  respond(calls[1]!, ...made('a', 'b'));
  t.deepEqual(
    results.map(({tag}) => tag),
    ['made', 'made'],
  );
  for (const requestId of ['s', 'u', 'v']) {
    dispatcher.order(
      {...TEST_ORDER, requestId, pieces: [0, 1, 2, 3]},
      () => undefined,
    );
  }
  await sleep(30);
  t.deepEqual(
    calls.slice(2).map(({endpoint}) => endpoint),
    [calls[1]!.endpoint],
  );
});

test('an endpoint that rejected a whole batch for lack of memory is avoided for a while', async (t) => {
  const {dispatcher, calls, respond} = createTestDispatcher(1);
  const cancel = dispatcher.order(TEST_ORDER, () => t.fail());
  await sleep(5);
  respond(calls[0]!, {tag: 'noRoom'}, {tag: 'noRoom'});
  const respondedAt = performance.now();
  const waited = await measureWait(() => calls.length > 1);
  t.true(performance.now() - respondedAt >= 40);
  t.true(waited <= 120);
  t.is(calls.length, 2);
  cancel();
});

test('an endpoint that computed some pieces gets the others at once', async (t) => {
  const {dispatcher, calls, respond, made} = createTestDispatcher(1);
  const results: StageResult[] = [];
  dispatcher.order(TEST_ORDER, (result) => results.push(result));
  await sleep(5);
  for (let iteration = 0; iteration < 6; iteration += 1) {
    respond(calls.at(-1)!, {tag: 'noRoom'}, {tag: 'noRoom'});
    await sleep(110);
  }
  respond(calls.at(-1)!, ...made('a'), {tag: 'noRoom'});
  await sleep(5);
  respond(calls.at(-1)!, ...made('b'));
  t.deepEqual(
    results.map(({tag}) => tag),
    ['made', 'made'],
  );
});

test('rejections for lack of memory, which take no time, do not shorten the timeout of calls', async (t) => {
  const {dispatcher, calls, respond, lines} = createTestDispatcher(
    1,
    1000,
    200,
  );
  dispatcher.order(TEST_ORDER, () => undefined);
  for (let rejections = 1; rejections <= 30; rejections += 1) {
    await measureWait(() => calls.length === rejections);
    respond(calls.at(-1)!, {tag: 'noRoom'}, {tag: 'noRoom'});
  }
  await measureWait(() => calls.length > 30);
  await sleep(250);
  t.false(calls.at(-1)!.isAborted, 'a call may take the time of a whole one');
  t.false(lines.includes('stage call overdue'));
});

test('results of a cancelled order are freed', async (t) => {
  const {dispatcher, calls, respond, made} = createTestDispatcher(1);
  const cancel = dispatcher.order(TEST_ORDER, () => t.fail());
  await sleep(5);
  cancel();
  respond(calls[0]!, ...made('a', 'b'));
  await sleep(30);
  t.is(calls[1]?.path, '/free');
});

test('pieces that cannot meet their deadline expire at once', async (t) => {
  const {dispatcher} = createTestDispatcher(0);
  const results: StageResult[] = [];
  dispatcher.order({...TEST_ORDER, deadlineMilliseconds: 10}, (result) =>
    results.push(result),
  );
  await sleep(60);
  t.deepEqual(
    results.map(({tag}) => tag),
    ['expired', 'expired'],
  );
});

test('an endpoint with a rate limit gets no call beyond it', async (t) => {
  const {dispatcher, calls, respond, made, setRateLimit} =
    createTestDispatcher(2);
  setRateLimit({tag: 'named', callsPerSecond: 0.1});
  dispatcher.order(TEST_ORDER, () => undefined);
  await sleep(5);
  const limited = calls[0]!.endpoint;
  respond(calls[0]!, ...made('a', 'b'));
  setRateLimit({tag: 'none'});
  for (let index = 1; index < 5; index += 1) {
    dispatcher.order({...TEST_ORDER, requestId: `r${index}`}, () => undefined);
    await sleep(5);
    t.not(calls[index]!.endpoint, limited);
    respond(calls[index]!, ...made('c', 'd'));
    await sleep(5);
  }
});

test('results at an endpoint with a rate limit are freed in few calls', async (t) => {
  const {dispatcher, calls, respond, made, setRateLimit} =
    createTestDispatcher(1);
  setRateLimit({tag: 'named', callsPerSecond: 0.1});
  dispatcher.order({...TEST_ORDER, pieces: [0, 1, 2, 3]}, () => undefined);
  await sleep(5);
  respond(calls[0]!, ...made('a', 'b', 'c', 'd'));
  for (const handle of ['a', 'b', 'c', 'd']) {
    dispatcher.free([handle]);
    await sleep(60);
  }
  t.is(calls.length, 1, 'no free while there is no room');
  await sleep(900);
  t.deepEqual(
    calls.slice(1).map(({path, request}) => [path, request.body]),
    [['/free', JSON.stringify(['a', 'b', 'c', 'd'])]],
  );
});

test('a result that an endpoint reports for two pieces is logged', async (t) => {
  const {dispatcher, calls, respond, made, lines} = createTestDispatcher(1);
  dispatcher.order(TEST_ORDER, () => undefined);
  await sleep(5);
  respond(calls[0]!, ...made('h-0', 'h-1'));
  dispatcher.order({...TEST_ORDER, requestId: 's'}, () => undefined);
  await sleep(5);
  const message = 'stage result reported twice';
  t.false(lines.includes(message));
  respond(calls[1]!, ...made('h-0', 'h-2'));
  t.is(lines.filter((line) => line === message).length, 1);
});

test('an endpoint that leaves gets neither queued pieces nor releases, and its next incarnation has all its memory', async (t) => {
  const {dispatcher, calls, respond, made, setLeaving, restartAll} =
    createTestDispatcher(1, 210);
  const results: StageResult[] = [];
  dispatcher.order(TEST_ORDER, (result) => results.push(result));
  await sleep(5);
  dispatcher.order({...TEST_ORDER, requestId: 's'}, () => undefined);
  setLeaving();
  respond(calls[0]!, ...made('a', 'b'));
  t.is(results.length, 2);
  dispatcher.free(['a', 'b']);
  await sleep(60);
  t.deepEqual(
    calls.map(({path}) => path),
    ['/run'],
  );
  restartAll();
  t.deepEqual(
    calls.map(({path, request}) => [
      path,
      JSON.parse(`${request.body}`).length,
    ]),
    [
      ['/run', 2],
      ['/run', 2],
    ],
  );
});

test('an endpoint that turned a batch away gets none until its time is over', async (t) => {
  const {dispatcher, calls, turnAway} = createTestDispatcher(1);
  dispatcher.order(TEST_ORDER, () => undefined);
  await sleep(5);
  const turnedAwayAt = performance.now();
  turnAway(calls[0]!, 300);
  const waits = dispatcher.getWaitEstimate('scan')!;
  t.true(waits.totalMilliseconds > 200, 'the estimate counts the pause');
  t.true(waits.totalMilliseconds < 500, 'the endpoint is used after it');
  const waited = await measureWait(() => calls.length > 1);
  t.true(performance.now() - turnedAwayAt >= 250);
  t.true(waited <= 370);
  t.is(calls.length, 2);
});

test('pieces do not wait for an endpoint of their failure domain that wants no calls', async (t) => {
  const {dispatcher, calls, respond, made, turnAway} = createTestDispatcher(2);
  const order = {...TEST_ORDER, failureDomain: 'a'};
  dispatcher.order(order, () => undefined);
  await sleep(5);
  respond(calls[0]!, ...made('a', 'b'));
  dispatcher.free(['a', 'b']);
  await sleep(30);
  t.is(calls[1]?.path, '/free');
  t.is(calls[1]?.endpoint, 0);
  turnAway(calls[1]!, 5000);
  dispatcher.order({...order, requestId: 's'}, () => undefined);
  await sleep(5);
  t.is(calls[2]?.endpoint, 1);
});

test('a release that was turned away is not repeated, and its memory counts until the results expire', async (t) => {
  const {dispatcher, calls, respond, made, turnAway} = createTestDispatcher(
    1,
    210,
  );
  dispatcher.order(TEST_ORDER, () => undefined);
  await sleep(5);
  respond(calls[0]!, ...made('a', 'b'));
  dispatcher.free(['a']);
  await sleep(30);
  t.true(calls[1]!.request.mayStillSend?.());
  turnAway(calls[1]!, 100);
  t.false(calls[1]!.request.mayStillSend?.());
  t.false(calls[0]!.request.mayStillSend?.());
  dispatcher.free(['b']);
  dispatcher.order(
    {...TEST_ORDER, requestId: 's', pieces: [0]},
    () => undefined,
  );
  await sleep(60);
  t.is(calls.length, 2, 'neither the other release nor pieces are sent');
  await sleep(100);
  t.is(calls[2]?.path, '/free');
  t.is(JSON.parse(`${calls[2]?.request.body}`).length, 1);
  t.is(calls.length, 3, 'the pieces need memory');
  respond(calls[2]!);
  t.is(calls[3]?.path, '/run');
});

test('of two calls for a piece the first result is used and the other one is freed, whichever call it is of', async (t) => {
  for (const first of [0, 1]) {
    const system = createTestDispatcher(2);
    const {dispatcher, calls, respond, made} = system;
    const results: StageResult[] = [];
    dispatcher.order(TEST_ORDER, (result) => results.push(result));
    await measureWait(() => calls.length === 2);
    respond(calls[first]!, ...made('a', 'b'));
    respond(calls[1 - first]!, ...made('c', 'd'));
    t.deepEqual(
      results.map((result) => result.tag === 'made' && result.handle),
      ['a', 'b'],
    );
    t.deepEqual(
      calls.map(({isAborted}) => isAborted),
      [false, false],
    );
    await measureWait(() => calls.length === 3);
    t.deepEqual(system.listPaths(), ['/run', '/run', '/free']);
    t.is(calls[2]!.endpoint, calls[1 - first]!.endpoint);
    t.deepEqual(JSON.parse(`${calls[2]!.request.body}`), ['c', 'd']);
  }
});

test('a result that an endpoint reports again for a hedged piece is not freed while it is used', async (t) => {
  const {dispatcher, calls, respond, made, listPaths} = createTestDispatcher(2);
  dispatcher.order(TEST_ORDER, () => undefined);
  await measureWait(() => calls.length === 2);
  respond(calls[0]!, ...made('a', 'b'));
  respond(calls[1]!, ...made('a', 'b'));
  await sleep(30);
  t.deepEqual(listPaths(), ['/run', '/run']);
});

test('pieces wait for a silent endpoint if no other one is free and no retry is left', async (t) => {
  const {dispatcher, calls, respond, made, isOverdue} = createTestDispatcher(
    1,
    1000,
    CALL_MILLISECONDS,
    0,
  );
  const results: StageResult[] = [];
  dispatcher.order(TEST_ORDER, (result) => results.push(result));
  await measureWait(isOverdue);
  await sleep(300);
  dispatcher.order({...TEST_ORDER, requestId: 's'}, () => undefined);
  await sleep(30);
  t.is(calls.length, 1, 'a silent endpoint gets no further call');
  const waits = dispatcher.getWaitEstimate('scan')!;
  t.true(waits.totalMilliseconds > 300, 'the estimate counts the silence');
  t.is(results.length, 0);
  respond(calls[0]!, ...made('a', 'b'));
  t.deepEqual(
    results.map(({tag}) => tag),
    ['made', 'made'],
  );
  t.is(calls.length, 2);
});

test('the retry budget bounds the pieces that are sent to a second endpoint', async (t) => {
  // Room for 0.7 x 4 retries.
  const {dispatcher, calls, respond, made} = createTestDispatcher(
    2,
    1000,
    CALL_MILLISECONDS,
    0,
  );
  const results: StageResult[] = [];
  dispatcher.order({...TEST_ORDER, pieces: [0, 1, 2, 3]}, (result) =>
    results.push(result),
  );
  await measureWait(() => calls.length === 2);
  t.is(JSON.parse(`${calls[1]!.request.body}`).length, 2);
  respond(calls[1]!, ...made('a', 'b'));
  await sleep(100);
  t.is(calls.length, 2);
  respond(calls[0]!, ...made('c', 'd', 'e', 'f'));
  t.deepEqual(
    results.map((result) => result.tag === 'made' && result.handle),
    ['a', 'b', 'e', 'f'],
  );
});

test('pieces for which the retry budget has no room hold no others up', async (t) => {
  const {dispatcher, calls, isOverdue} = createTestDispatcher(
    2,
    1000,
    CALL_MILLISECONDS,
    -100,
  );
  dispatcher.order({...TEST_ORDER, pieces: [0, 1, 2, 3]}, () => undefined);
  await measureWait(isOverdue);
  dispatcher.order({...TEST_ORDER, requestId: 's'}, () => undefined);
  await sleep(5);
  const pieces = JSON.parse(`${calls[1]?.request.body}`);
  t.deepEqual(
    pieces.map(({requestId}: {requestId: string}) => requestId),
    ['s', 's'],
  );
});

test('a piece that waits for a second endpoint leaves the queue, and takes no retry, when the first one answers', async (t) => {
  // Room for 0.7 x 4 retries.
  const system = createTestDispatcher(2, 1000, CALL_MILLISECONDS, 0);
  const {dispatcher, calls, respond, made, isOverdue} = system;
  const results: StageResult[] = [];
  dispatcher.order(TEST_ORDER, (result) => results.push(result));
  await sleep(120);
  dispatcher.order({...TEST_ORDER, requestId: 's'}, () => undefined);
  await measureWait(isOverdue);
  t.is(calls.length, 2, 'the other endpoint is busy');
  respond(calls[0]!, ...made('a', 'b'));
  t.is(results.length, 2);
  await measureWait(() => calls.length === 3);
  t.deepEqual(
    JSON.parse(`${calls[2]?.request.body}`).map(
      ({requestId}: {requestId: string}) => requestId,
    ),
    ['s', 's'],
  );
});

test('a call that fails does not fail the pieces that another call may make', async (t) => {
  for (const failing of [0, 1]) {
    // Room for 0.7 x 3 retries, which the second call uses up.
    const {dispatcher, calls, respond, made} = createTestDispatcher(
      2,
      1000,
      CALL_MILLISECONDS,
      1,
    );
    const results: StageResult[] = [];
    dispatcher.order(TEST_ORDER, (result) => results.push(result));
    await measureWait(() => calls.length === 2);
    const failure = {tag: 'unknown', message: 'reset'} as const;
    calls[failing]!.request.onFailure(failure);
    t.deepEqual(results, []);
    respond(calls[1 - failing]!, ...made('a', 'b'));
    t.deepEqual(
      results.map(({tag}) => tag),
      ['made', 'made'],
    );
  }
});

test('pieces fail when the last of their calls fails and no retry is left', async (t) => {
  const {dispatcher, calls} = createTestDispatcher(
    2,
    1000,
    CALL_MILLISECONDS,
    1,
  );
  const results: StageResult[] = [];
  dispatcher.order(TEST_ORDER, (result) => results.push(result));
  await measureWait(() => calls.length === 2);
  for (const {request} of calls.slice(0, 2)) {
    request.onFailure({tag: 'unknown', message: 'reset'});
  }
  t.deepEqual(
    results.map(({tag}) => tag),
    ['failed', 'failed'],
  );
});

test('a cancelled order changes nothing for the other orders of an overdue call', async (t) => {
  const {dispatcher, calls, respond, made, isOverdue, listPaths} =
    createTestDispatcher(1);
  const results: StageResult[] = [];
  const cancel = dispatcher.order(TEST_ORDER, () => t.fail());
  dispatcher.order({...TEST_ORDER, requestId: 's'}, (result) =>
    results.push(result),
  );
  await measureWait(isOverdue);
  cancel();
  t.false(calls[0]!.isAborted);
  respond(calls[0]!, ...made('a', 'b', 'c', 'd'));
  t.deepEqual(
    results.map((result) => result.tag === 'made' && result.handle),
    ['c', 'd'],
  );
  await measureWait(() => calls.length === 2);
  t.deepEqual(listPaths(), ['/run', '/free']);
  t.deepEqual(JSON.parse(`${calls[1]!.request.body}`), ['a', 'b']);
});

test('an overdue call ends when the deadlines of all its pieces have passed', async (t) => {
  const {dispatcher, calls} = createTestDispatcher(1);
  const results: string[] = [];
  for (const [requestId, deadlineMilliseconds] of [
    ['r', 400],
    ['s', 700],
  ] as const) {
    dispatcher.order(
      {...TEST_ORDER, requestId, deadlineMilliseconds},
      ({tag, piece}) => results.push(`${requestId} ${piece} ${tag}`),
    );
  }
  const startedAt = performance.now();
  await measureWait(() => results.length === 2);
  t.true(performance.now() - startedAt >= 390);
  t.deepEqual(results, ['r 0 expired', 'r 1 expired']);
  t.false(calls[0]!.isAborted);
  await measureWait(() => results.length === 4);
  t.true(performance.now() - startedAt >= 690);
  t.deepEqual(results.slice(2), ['s 0 expired', 's 1 expired']);
  t.true(calls[0]!.isAborted);
  dispatcher.order({...TEST_ORDER, requestId: 'u'}, () => undefined);
  await sleep(5);
  t.is(calls.length, 2, 'the endpoint is free again');
});

test('an overdue call to a process that has a successor ends, and its pieces go there', async (t) => {
  const {dispatcher, calls, respond, made, isOverdue, restartAll} =
    createTestDispatcher(1);
  const results: StageResult[] = [];
  dispatcher.order(TEST_ORDER, (result) => results.push(result));
  await measureWait(isOverdue);
  restartAll();
  t.true(calls[0]!.isAborted);
  t.is(calls.length, 2);
  respond(calls[1]!, ...made('a', 'b'));
  t.is(results.length, 2);
});

test('a stage that leaves the configuration fails no piece that an overdue call may make', async (t) => {
  const {dispatcher, calls, respond, made, isOverdue, removeStage} =
    createTestDispatcher(1);
  const results: string[] = [];
  for (const requestId of ['r', 's', 'u']) {
    dispatcher.order({...TEST_ORDER, requestId}, ({tag, piece}) =>
      results.push(`${requestId} ${piece} ${tag}`),
    );
  }
  await measureWait(isOverdue);
  removeStage();
  t.deepEqual(results, ['u 0 failed', 'u 1 failed']);
  respond(calls[0]!, ...made('a', 'b', 'c', 'd'));
  t.deepEqual(results.slice(2), [
    'r 0 made',
    'r 1 made',
    's 0 made',
    's 1 made',
  ]);
});

test('a silence is not taken for the speed of an endpoint', async (t) => {
  const callMilliseconds = 200;
  const {dispatcher, calls, respond, made, isOverdue} = createTestDispatcher(
    1,
    1000,
    callMilliseconds,
  );
  dispatcher.order(TEST_ORDER, () => undefined);
  await measureWait(isOverdue);
  respond(calls[0]!, ...made('a', 'b'));
  dispatcher.order({...TEST_ORDER, requestId: 's'}, () => undefined);
  await measureWait(() => calls.length === 2);
  const {totalMilliseconds} = dispatcher.getWaitEstimate('scan')!;
  const work = 2;
  t.true(totalMilliseconds <= callMilliseconds + work, `${totalMilliseconds}`);
});

test('the pieces of an overdue call go to no other slot of its endpoint', async (t) => {
  const {dispatcher, calls, isOverdue} = createTestDispatcher(
    1,
    1000,
    CALL_MILLISECONDS,
    50,
    2,
  );
  dispatcher.order(TEST_ORDER, () => undefined);
  await measureWait(isOverdue);
  await sleep(100);
  t.is(calls.length, 1);
});

test('an endpoint that has lost a response is used again, and its next response shows the loss', async (t) => {
  const {dispatcher, calls, respond, made, isOverdue} = createTestDispatcher(1);
  const results: StageResult[] = [];
  const order = {...TEST_ORDER, deadlineMilliseconds: 20_000};
  dispatcher.order(order, (result) => results.push(result));
  await measureWait(isOverdue);
  dispatcher.order({...order, requestId: 's'}, () => undefined);
  await sleep(5);
  t.is(calls.length, 1, 'not while it is penalised');
  await measureWait(() => calls.length === 2);
  t.false(calls[0]!.isAborted, 'it may still answer');
  respond(calls[1]!, ...made('c', 'd'));
  t.true(calls[0]!.isAborted);
  await measureWait(() => calls.length === 3);
  respond(calls[2]!, ...made('a', 'b'));
  t.deepEqual(
    results.map((result) => result.tag === 'made' && result.handle),
    ['a', 'b'],
  );
});

test('an account does not wait for what another one has beyond its share', async (t) => {
  const {dispatcher, calls} = createTestDispatcher(1, 1_000_000, 200);
  const order = {...TEST_ORDER, targetMilliseconds: 700};
  for (let index = 0; index < 12; index += 1) {
    const requestId = `large-${index}`;
    dispatcher.order({...order, requestId, account: 'large'}, () => undefined);
  }
  dispatcher.order(
    {...order, requestId: 'small', account: 'small'},
    () => undefined,
  );
  await sleep(5);
  t.is(calls.length, 1);
  t.true(String(calls[0]!.request.body).includes('"small"'));
});
