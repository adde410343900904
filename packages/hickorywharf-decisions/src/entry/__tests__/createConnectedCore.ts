import {createConfigurationLog} from '../../configuration/createConfigurationLog.ts';
import {createEntryCore} from '../createEntryCore.ts';

interface ConnectedCoreOptions {
  readonly core?: Partial<Parameters<typeof createEntryCore>[0]>;
  /** Documents of the configuration; schema version 1 by default. */
  readonly documents: readonly Readonly<Record<string, unknown>>[];
  /** Endpoints that are listed and connected. */
  readonly endpoints: readonly string[];
}

/** Creates an entry's core with a configuration and connected endpoints. */
export function createConnectedCore(options: ConnectedCoreOptions) {
  const core = createEntryCore({
    failureDomain: 'a',
    incarnation: 'entry',
    routingPolicy: 'roundRobin',
    homePartitionCount: 4,
    maximumRequests: 100,
    random: () => 0,
    ...options.core,
  });
  const log = createConfigurationLog();
  const changes = options.documents.map((document) => ({
    kind: String(document['kind']),
    name: String(document['name']),
    document: {schemaVersion: 1, ...document},
  }));
  log.applyEntries([{sequence: 1, operation: 'first', changes}]);
  core.handle({tag: 'configurationInForce', view: log.getView()}, 0);
  const instances = options.endpoints.map((name) => ({
    name,
    role: 'endpoint' as const,
    address: '127.0.0.1',
    port: 1,
    failureDomain: 'a',
    state: 'live' as const,
  }));
  core.handle({tag: 'instancesListed', instances}, 0);
  for (const endpoint of options.endpoints) {
    core.handle({tag: 'endpointConnected', endpoint, incarnation: '1'}, 0);
  }
  return core;
}
