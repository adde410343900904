import test from 'ava';
import fc from 'fast-check';
import type {Frame} from 'hickorywharf-types/frame';
import type {StageOutput} from 'hickorywharf-types/stageOutput';
import {createConfigurationLog} from '../configuration/createConfigurationLog.ts';
import {createEndpointCore} from '../endpoint/createEndpointCore.ts';
import type {EndpointCommand} from '../endpoint/endpointCommand.ts';
import type {EndpointEvent} from '../endpoint/endpointEvent.ts';
import {createEntryCore} from '../entry/createEntryCore.ts';
import type {EntryCommand} from '../entry/entryCommand.ts';
import type {EntryEvent} from '../entry/entryEvent.ts';

type AttemptFrame = Extract<Frame, {tag: 'attempt'}>;
type Outcome = {readonly name: string; readonly outputs?: unknown};

const KEY_HASH = 'a'.repeat(64);
const TOKEN_COUNT = 4;
const DEADLINE_MILLISECONDS = 3000;
const ENDPOINTS = ['engine-1', 'engine-2', 'desk-1'];
/** The steps of a run, with their relative frequencies. */
const STEP_WEIGHTS = {
  request: 3,
  retryWithKey: 1,
  toEndpoint: 6,
  toEntry: 6,
  work: 5,
  wait: 3,
  duplicateToEndpoint: 3,
  duplicateToEntry: 2,
  drop: 2,
  reconnect: 3,
  restart: 1,
  fail: 1,
} as const;
type StepName = keyof typeof STEP_WEIGHTS;

const DOCUMENTS = [
  {
    kind: 'account',
    schemaVersion: 1,
    name: 'desk',
    keyHash: KEY_HASH,
    requestsPerSecond: 100_000,
  },
  ...[
    {name: 'generate', kind: 'generate', pool: 'engines'},
    {name: 'call', kind: 'call', pool: 'desks', idempotent: false},
  ].map((stage) => ({
    kind: 'pipeline',
    schemaVersion: 1,
    name: stage.name,
    deadlineMilliseconds: DEADLINE_MILLISECONDS,
    stages: [stage],
  })),
  ...ENDPOINTS.map((name) => ({
    kind: 'endpoint',
    schemaVersion: 1,
    name,
    pool: `${name.split('-')[0]}s`,
  })),
];

function createKey(issueTime: number, number: number): string {
  const time = issueTime.toString(16).padStart(12, '0');
  const tail = number.toString(16).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`;
}

function getToken(text: string, position: number): string {
  return `${text}/${position}`;
}

/**
 * Simulates one entry and three endpoint processes on a network that loses,
 * delays and duplicates frames. Endpoint processes crash and restart under the
 * same name with a new incarnation.
 */
function createNetwork() {
  let now = 0;
  let requests = 0;
  const runs = new Map<string, number>();
  const keys = new Map<string, string>();
  const outcomes = new Map<string, Outcome[]>();
  const delivered = new Map<string, string[]>();
  const violations: string[] = [];
  const view = (() => {
    const log = createConfigurationLog();
    const changes = DOCUMENTS.map((document) => {
      const {kind, name} = document;
      return {kind, name, document};
    });
    log.applyEntries([{sequence: 1, operation: 'first', changes}]);
    return log.getView();
  })();
  const entry = createEntryCore({
    failureDomain: 'a',
    incarnation: 'entry',
    routingPolicy: 'twoChoices',
    homePartitionCount: 1,
    maximumRequests: 1000,
    random: () => (now % 7) / 7,
  });
  const endpoints = new Map(
    ENDPOINTS.map((name) => [name, createEndpoint(name, 1)]),
  );

  function createEndpoint(name: string, incarnationNumber: number) {
    const core = createEndpointCore({
      name,
      incarnation: `${name}-${incarnationNumber}`,
      slots: 2,
      queueOrder: 'firstInFirstOut',
      maximumQueueLength: 4,
      retentionMilliseconds: 300,
      retentionBytes: 2000,
      homePartitionCount: 1,
      maximumSkewMilliseconds: Number.MAX_SAFE_INTEGER,
    });
    core.handle(
      {
        tag: 'homesRead',
        revision: incarnationNumber,
        record: {
          assignmentSequence: 0,
          earlier: [],
          intervals: [
            {
              pool: 'desks',
              part: 0,
              half: null,
              home: 'desk-1',
              incarnation: `desk-1-${incarnationNumber}`,
              epoch: incarnationNumber,
              // The new incarnation is home of keys issued after its start.
              from: incarnationNumber === 1 ? 0 : now + 1,
              until: Number.MAX_SAFE_INTEGER,
              assignmentSequence: 0,
              released: false,
              slot: '',
              anchor: {issueTime: 0, monotonic: 0},
            },
          ],
        },
      },
      now,
    );
    return {
      name,
      incarnationNumber,
      core,
      connected: false,
      toEndpoint: [] as Frame[],
      toEntry: [] as Frame[],
      /** Frames received before, which may be duplicated much later. */
      arrivedAtEndpoint: [] as Frame[],
      arrivedAtEntry: [] as Frame[],
      running: new Map<string, {frame: AttemptFrame; position: number}>(),
    };
  }
  type Endpoint = ReturnType<typeof createEndpoint>;

  function executeEntry(command: EntryCommand): void {
    if (command.tag === 'send') {
      const endpoint = endpoints.get(command.endpoint)!;
      if (endpoint.connected) endpoint.toEndpoint.push(command.frame);
      else if (command.frame.tag === 'attempt') {
        const {attemptId} = command.frame;
        feedEntry({tag: 'attemptNotSent', endpoint: endpoint.name, attemptId});
      }
    }
    if (command.tag === 'deliverTokens') {
      const tokens = delivered.get(command.requestId)!;
      if (command.position !== tokens.length) violations.push('gap or repeat');
      tokens.push(...command.tokens);
    }
    if (command.tag === 'answer') {
      const {requestId, outputs} = command;
      outcomes.get(requestId)!.push({name: 'answered', outputs});
    }
    if (command.tag === 'fail') {
      outcomes.get(command.requestId)!.push({name: command.error.outcome});
    }
  }

  function feedEntry(event: EntryEvent): void {
    entry.handle(event, now).forEach(executeEntry);
  }

  function executeEndpoint(endpoint: Endpoint, command: EndpointCommand): void {
    if (command.tag === 'send' && endpoint.connected) {
      endpoint.toEntry.push(command.frame);
    }
    if (command.tag === 'startBackend') {
      const {attempt: frame} = command;
      const position = frame.input.continuation?.length ?? 0;
      endpoint.running.set(frame.attemptId, {frame, position});
      const key = frame.idempotencyKey ?? '';
      if (!frame.idempotent) runs.set(key, (runs.get(key) ?? 0) + 1);
    }
    if (command.tag === 'cancelBackend') failOne(endpoint, command.attemptId);
  }

  function feedEndpoint(endpoint: Endpoint, event: EndpointEvent): void {
    for (const command of endpoint.core.handle(event, now)) {
      executeEndpoint(endpoint, command);
    }
  }

  function failOne(endpoint: Endpoint, attemptId: string): void {
    if (!endpoint.running.delete(attemptId)) return;
    const outcome = 'unknown';
    const message = 'failed';
    feedEndpoint(endpoint, {tag: 'backendFailed', attemptId, outcome, message});
  }

  function work(endpoint: Endpoint): void {
    const [first] = endpoint.running.values();
    if (first === undefined) return;
    const {attemptId, kind, input, idempotencyKey} = first.frame;
    if (kind === 'generate' && first.position < TOKEN_COUNT) {
      const tokens = [getToken(input.text, first.position)];
      first.position += 1;
      feedEndpoint(endpoint, {tag: 'backendTokens', attemptId, tokens});
      return;
    }
    endpoint.running.delete(attemptId);
    const output: StageOutput =
      kind === 'generate'
        ? {kind, tokens: [], tokenCount: TOKEN_COUNT, cachedTokens: 0}
        : {kind: 'call', response: {idempotencyKey}};
    feedEndpoint(endpoint, {tag: 'backendFinished', attemptId, output});
  }

  function sendRequest(pipelineName: string, key: string): void {
    requests += 1;
    const requestId = `r${requests}`;
    keys.set(requestId, key);
    outcomes.set(requestId, []);
    delivered.set(requestId, []);
    feedEntry({
      tag: 'requestArrived',
      requestId,
      pipelineName,
      keyHash: KEY_HASH,
      input: {text: requestId},
      idempotencyKey: key,
      bodyDigest: 'b',
      deadlineMilliseconds: null,
      traceparent: null,
    });
  }

  function wait(milliseconds: number): void {
    now += milliseconds;
    for (const endpoint of endpoints.values()) {
      feedEndpoint(endpoint, {tag: 'ticked'});
      if (!endpoint.connected) continue;
      endpoint.toEntry.push({
        tag: 'heartbeat',
        leaving: false,
        load: null,
        configurationSequence: 1,
      });
    }
    feedEntry({tag: 'ticked'});
  }

  function drop(endpoint: Endpoint): void {
    if (!endpoint.connected) return;
    endpoint.connected = false;
    endpoint.toEndpoint = [];
    endpoint.toEntry = [];
    feedEntry({tag: 'endpointDisconnected', endpoint: endpoint.name});
  }

  function reconnect(endpoint: Endpoint): void {
    if (endpoint.connected) return;
    endpoint.connected = true;
    const {name, incarnationNumber} = endpoint;
    const incarnation = `${name}-${incarnationNumber}`;
    feedEntry({tag: 'endpointConnected', endpoint: name, incarnation});
  }

  const steps: Record<StepName, (endpoint: Endpoint, choice: number) => void> =
    {
      request: ({name}) =>
        sendRequest(
          name === 'desk-1' ? 'call' : 'generate',
          createKey(now, requests),
        ),
      retryWithKey() {
        const key = keys.get(`r${requests}`);
        if (key !== undefined) sendRequest('call', key);
      },
      toEndpoint(endpoint) {
        const frame = endpoint.toEndpoint.shift();
        if (frame === undefined) return;
        endpoint.arrivedAtEndpoint.push(frame);
        feedEndpoint(endpoint, {tag: 'frameArrived', peer: 'entry', frame});
      },
      toEntry(endpoint) {
        const frame = endpoint.toEntry.shift();
        if (frame === undefined) return;
        endpoint.arrivedAtEntry.push(frame);
        feedEntry({tag: 'frameArrived', endpoint: endpoint.name, frame});
      },
      work,
      wait: (_endpoint, choice) => wait(choice < 0.5 ? 100 : 900),
      duplicateToEndpoint(endpoint, choice) {
        const {arrivedAtEndpoint: arrived} = endpoint;
        const frame = arrived[Math.floor(choice * arrived.length)];
        if (frame === undefined) return;
        feedEndpoint(endpoint, {tag: 'frameArrived', peer: 'entry', frame});
      },
      duplicateToEntry(endpoint, choice) {
        const {arrivedAtEntry: arrived} = endpoint;
        const frame = arrived[Math.floor(choice * arrived.length)];
        if (frame === undefined) return;
        feedEntry({tag: 'frameArrived', endpoint: endpoint.name, frame});
      },
      drop,
      reconnect,
      restart(endpoint) {
        drop(endpoint);
        const {name, incarnationNumber} = endpoint;
        endpoints.set(name, createEndpoint(name, incarnationNumber + 1));
      },
      fail(endpoint) {
        const [attemptId] = endpoint.running.keys();
        if (attemptId !== undefined) failOne(endpoint, attemptId);
      },
    };

  feedEntry({tag: 'configurationInForce', view});
  feedEntry({
    tag: 'instancesListed',
    instances: ENDPOINTS.map((name) => ({
      name,
      role: 'endpoint',
      address: '127.0.0.1',
      port: 1,
      failureDomain: 'a',
      state: 'live',
    })),
  });
  for (const endpoint of endpoints.values()) reconnect(endpoint);

  /** Delivers every frame and finishes every backend call. */
  function settle(): void {
    for (let iteration = 0; iteration < 100; iteration += 1) {
      for (const endpoint of endpoints.values()) {
        reconnect(endpoint);
        while (endpoint.toEndpoint.length > 0) steps.toEndpoint(endpoint, 0);
        while (endpoint.running.size > 0) work(endpoint);
        while (endpoint.toEntry.length > 0) steps.toEntry(endpoint, 0);
      }
      wait(100);
    }
  }

  function checkOutcome(requestId: string, [outcome]: Outcome[]): void {
    const key = keys.get(requestId)!;
    const uses = [...keys.values()].filter((other) => other === key).length;
    const hasRun = (runs.get(key) ?? 0) > 0;
    if (outcome?.name === 'notRun' && uses === 1 && hasRun) {
      violations.push(`${requestId} ran, but its outcome is not run`);
    }
    if (outcome?.name !== 'answered') return;
    const [output] = outcome.outputs as StageOutput[];
    const tokens = Array.from({length: TOKEN_COUNT}, (_, position) =>
      getToken(requestId, position),
    );
    const isCorrect =
      output?.kind === 'generate'
        ? output.tokens.join() === tokens.join() &&
          delivered.get(requestId)!.join() === tokens.join()
        : output?.kind === 'call' && output.response['idempotencyKey'] === key;
    if (!isCorrect) violations.push(`${requestId} has a wrong answer`);
  }

  return {
    run(step: StepName, endpoint: string, choice: number) {
      steps[step](endpoints.get(endpoint)!, choice);
    },
    /** Settles the network and returns the violated guarantees. */
    finish(): readonly string[] {
      settle();
      for (const [key, count] of runs) {
        if (count > 1) violations.push(`${key} ran ${count} times`);
      }
      for (const [requestId, ended] of outcomes) {
        if (ended.length !== 1) violations.push(`${ended.length} outcomes`);
        checkOutcome(requestId, ended);
      }
      return violations;
    },
    countAnswered: () =>
      [...outcomes.values()].filter(([first]) => first?.name === 'answered')
        .length,
  };
}

test('no order of losses, duplicates, crashes and delays violates a guarantee', (t) => {
  const names = Object.entries(STEP_WEIGHTS).flatMap(([name, weight]) =>
    Array.from({length: weight}, () => name as StepName),
  );
  const step = fc.tuple(
    fc.constantFrom(...names),
    fc.constantFrom(...ENDPOINTS, 'desk-1'),
    fc.integer({min: 0, max: 99}),
  );
  let answered = 0;
  fc.assert(
    fc.property(
      fc.array(step, {minLength: 50, maxLength: 400, size: 'max'}),
      (sequence) => {
        const network = createNetwork();
        for (const [name, endpoint, choice] of sequence) {
          network.run(name, endpoint, choice / 100);
        }
        const violations = network.finish();
        answered += network.countAnswered();
        if (violations.length > 0) throw new Error(violations.join('; '));
      },
    ),
    {seed: 11, numRuns: 400},
  );
  t.true(answered > 1000, `${answered} requests were answered`);
});
