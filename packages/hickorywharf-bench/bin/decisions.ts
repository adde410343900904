/**
 * Measures the time that the decision cores of an entry and of an endpoint
 * process take, with tables at the design size.
 *
 *     npm run decisions
 */
import {createConfigurationLog} from 'hickorywharf-decisions/configuration/createConfigurationLog';
import {createEntryCore} from 'hickorywharf-decisions/entry/createEntryCore';
import {queuePolicies} from 'hickorywharf-decisions/endpoint/policies/queuePolicies';
import {routingPolicies} from 'hickorywharf-decisions/entry/policies/routingPolicies';
import {measureQueueDecisions} from 'hickorywharf-bench/replay/measureQueueDecisions';
import {createRandom} from 'hickorywharf-utils/createRandom';

const ENDPOINTS = 64;
const IN_FLIGHT = 93;
const ITERATIONS = 20_000;
const KEY_HASH = 'a'.repeat(64);
const MICROSECONDS_PER_MILLISECOND = 1000;

function createDocuments() {
  const endpoints = Array.from({length: ENDPOINTS}, (_, index) => ({
    kind: 'endpoint',
    schemaVersion: 1,
    name: `engine-${index}`,
    pool: 'engines',
  }));
  const pipeline = {
    kind: 'pipeline',
    schemaVersion: 1,
    name: 'summary',
    deadlineMilliseconds: 2000,
    stages: [{name: 'generate', kind: 'generate', pool: 'engines'}],
  };
  const account = {
    kind: 'account',
    schemaVersion: 1,
    name: 'desk',
    keyHash: KEY_HASH,
    requestsPerSecond: 100_000,
  };
  return [account, pipeline, ...endpoints];
}

function createCore(routingPolicy: string) {
  const core = createEntryCore({
    failureDomain: 'domain-0',
    incarnation: 'entry',
    routingPolicy,
    policies: {admission: 'estimate', ejection: 'slowness', hedging: 'late'},
    homePartitionCount: 32,
    maximumRequests: 2000,
    random: createRandom(1),
  });
  const log = createConfigurationLog();
  const changes = createDocuments().map((document) => ({
    kind: document.kind,
    name: document.name,
    document,
  }));
  log.applyEntries([{sequence: 1, operation: 'first', changes}]);
  core.handle({tag: 'configurationInForce', view: log.getView()}, 0);
  const instances = Array.from({length: ENDPOINTS}, (_, index) => ({
    name: `engine-${index}`,
    role: 'endpoint' as const,
    address: '127.0.0.1',
    port: 1,
    failureDomain: `domain-${index % 10}`,
    state: 'live' as const,
  }));
  core.handle({tag: 'instancesListed', instances}, 0);
  for (const {name} of instances) {
    const connected = {endpoint: name, incarnation: '1'};
    core.handle({tag: 'endpointConnected', ...connected}, 0);
  }
  return core;
}

/**
 * Mean microseconds of an entry's decisions for a request, from its arrival to
 * its response, with others in flight.
 */
function measure(routingPolicy: string): number {
  const core = createCore(routingPolicy);
  const inFlight: {endpoint: string; requestId: string; attemptId: string}[] =
    [];
  let requestNumber = 0;
  const arrive = () => {
    requestNumber += 1;
    const commands = core.handle(
      {
        tag: 'requestArrived',
        requestId: `${requestNumber}`,
        pipelineName: 'summary',
        keyHash: KEY_HASH,
        input: {text: `${'x'.repeat(300)} ${requestNumber % 50}`},
        idempotencyKey: null,
        bodyDigest: null,
        deadlineMilliseconds: null,
        traceparent: null,
      },
      1,
    );
    for (const command of commands) {
      if (command.tag !== 'send' || command.frame.tag !== 'attempt') continue;
      const {requestId, attemptId} = command.frame;
      inFlight.push({endpoint: command.endpoint, requestId, attemptId});
    }
  };
  const finish = () => {
    const {endpoint, ...key} = inFlight.shift()!;
    core.handle(
      {
        tag: 'frameArrived',
        endpoint,
        frame: {
          tag: 'result',
          stageIndex: 0,
          ...key,
          output: {
            kind: 'generate',
            tokens: [],
            tokenCount: 0,
            cachedTokens: 0,
          },
          queuedMilliseconds: 0,
          backendMilliseconds: 10,
        },
      },
      1,
    );
  };
  for (let count = 0; count < IN_FLIGHT; count += 1) arrive();
  const startedAt = performance.now();
  for (let iteration = 0; iteration < ITERATIONS; iteration += 1) {
    arrive();
    finish();
  }
  return (
    ((performance.now() - startedAt) / ITERATIONS) *
    MICROSECONDS_PER_MILLISECOND
  );
}

for (const name of Object.keys(routingPolicies)) {
  const microseconds = measure(name).toFixed(1);
  console.log(
    `${name.padEnd(16)} ${microseconds} microseconds a request of one stage, ${ENDPOINTS} endpoints, ${IN_FLIGHT} in flight`,
  );
}

for (const name of Object.keys(queuePolicies)) {
  const microseconds = measureQueueDecisions(name).toFixed(1);
  console.log(
    `${name.padEnd(16)} ${microseconds} microseconds of processor time a stage call at an endpoint, 25 calls a second, outcomes kept 30 s`,
  );
}
