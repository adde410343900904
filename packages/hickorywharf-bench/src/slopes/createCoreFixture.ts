import {createConfigurationLog} from 'hickorywharf-decisions/configuration/createConfigurationLog';
import {createEntryCore} from 'hickorywharf-decisions/entry/createEntryCore';
import {createRandom} from 'hickorywharf-utils/createRandom';
import {digest} from 'hickorywharf-utils/digest';

interface CoreFixtureOptions {
  readonly accounts: number;
  readonly endpoints: number;
  /** Endpoints that the entry is connected to. */
  readonly connected: number;
}

const PIPELINE_COUNT = 19;
const POOL_COUNT = 8;
const STAGE_COUNT = 4;

function createDocuments(options: CoreFixtureOptions) {
  const accounts = Array.from({length: options.accounts}, (_, number) => ({
    kind: 'account',
    schemaVersion: 2,
    name: `account-${number}`,
    keyHash: digest(`key-${number}`),
    requestsPerSecond: 1_000_000,
    half: number % 2 === 0 ? 'lisbon' : 'ulaanbaatar',
  }));
  const pipelines = Array.from({length: PIPELINE_COUNT}, (_, number) => ({
    kind: 'pipeline',
    schemaVersion: 1,
    name: `pipeline-${number}`,
    deadlineMilliseconds: 2000,
    stages: Array.from({length: STAGE_COUNT}, (_stage, stage) => ({
      name: `stage-${stage}`,
      kind: 'encode',
      pool: `pool-${(number + stage) % POOL_COUNT}`,
    })),
  }));
  const endpoints = Array.from({length: options.endpoints}, (_, number) => ({
    kind: 'endpoint',
    schemaVersion: 1,
    name: `endpoint-${number}`,
    pool: `pool-${number % POOL_COUNT}`,
  }));
  return [...accounts, ...pipelines, ...endpoints];
}

/**
 * Creates an entry's core and configuration log, filled with the configuration
 * of a large deployment.
 *
 * @example
 *     createCoreFixture({accounts: 1300, endpoints: 4200, connected: 60});
 */
export function createCoreFixture(options: CoreFixtureOptions) {
  const log = createConfigurationLog();
  const documents = createDocuments(options);
  const changes = documents.map((document) => ({
    kind: document.kind,
    name: document.name,
    document,
  }));
  log.applyEntries([{sequence: 1, operation: 'fixture', changes}]);
  const core = createEntryCore({
    failureDomain: 'domain-1',
    incarnation: 'entry',
    routingPolicy: 'twoChoices',
    homePartitionCount: 32,
    maximumRequests: 1_000_000,
    random: createRandom(1),
  });
  core.handle({tag: 'configurationInForce', view: log.getView()}, 0);
  const instances = Array.from({length: options.connected}, (_, number) => ({
    name: `endpoint-${number}`,
    role: 'endpoint' as const,
    address: '127.0.0.1',
    port: 1,
    failureDomain: 'domain-1',
    state: 'live' as const,
  }));
  core.handle({tag: 'instancesListed', instances}, 0);
  for (const {name} of instances) {
    core.handle(
      {tag: 'endpointConnected', endpoint: name, incarnation: '1'},
      0,
    );
  }
  return {core, log};
}
