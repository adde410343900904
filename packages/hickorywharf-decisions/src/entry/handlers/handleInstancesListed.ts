import type {Instance} from 'hickorywharf-types/instance';
import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';

function addEndpoint(state: EntryState, instance: Instance): void {
  const {name, address, port, failureDomain} = instance;
  state.endpoints.insert(name, {
    name,
    address,
    port,
    failureDomain,
    connected: false,
    incarnation: '',
    leaving: false,
    listedLeaving: instance.state === 'leaving',
    inFlight: 0,
    load: null,
    loadAt: 0,
    sentSinceReport: 0,
    heardAt: 0,
  });
  state.commands.push({tag: 'connect', endpoint: name, address, port});
}

function updateEndpoint(
  state: EntryState,
  known: EntryRows['endpoint'],
  instance: Instance,
): void {
  known.listedLeaving = instance.state === 'leaving';
  const {address, port} = instance;
  const hasMoved = known.address !== address || known.port !== port;
  // The list lags: where the process can be reached, it has not moved.
  if (!hasMoved || known.connected) return;
  known.address = address;
  known.port = port;
  state.commands.push({tag: 'connect', endpoint: known.name, address, port});
}

function hasAttempts(state: EntryState, endpoint: string): boolean {
  for (const attempt of state.attempts.rows()) {
    if (attempt.endpoint === endpoint) return true;
  }
  return false;
}

function removeMissing(state: EntryState, listed: ReadonlySet<string>): void {
  for (const endpoint of [...state.endpoints.rows()]) {
    if (listed.has(endpoint.name)) continue;
    // The list lags: what is connected, or owes an answer, is still there.
    if (endpoint.connected || hasAttempts(state, endpoint.name)) continue;
    state.endpoints.remove(endpoint.name);
    state.commands.push({tag: 'disconnect', endpoint: endpoint.name});
  }
}

/**
 * Takes the platform's lagging list of instances.
 *
 * @example
 *     handleInstancesListed(state, instances);
 */
export function handleInstancesListed(
  state: EntryState,
  instances: readonly Instance[],
): void {
  const endpoints = instances.filter(({role}) => role === 'endpoint');
  for (const instance of endpoints) {
    const known = state.endpoints.get(instance.name);
    if (known === undefined) addEndpoint(state, instance);
    else updateEndpoint(state, known, instance);
  }
  removeMissing(state, new Set(endpoints.map(({name}) => name)));
}
