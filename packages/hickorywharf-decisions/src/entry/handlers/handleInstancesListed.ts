import type {Instance} from 'hickorywharf-types/instance';
import {findForgettable} from '../../membership/findForgettable.ts';
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
    leaving: instance.state === 'leaving',
    inFlight: 0,
    load: null,
    loadAt: 0,
    sentSinceReport: 0,
    heardAt: 0,
  });
  state.commands.push({tag: 'connect', endpoint: name, address, port});
}

/** A process that is replaced may come back under its name elsewhere. */
function followAddress(
  state: EntryState,
  known: EntryRows['endpoint'],
  {address, port}: Instance,
): void {
  if (known.connected) return;
  if (known.address === address && known.port === port) return;
  known.address = address;
  known.port = port;
  const endpoint = known.name;
  state.commands.push({tag: 'disconnect', endpoint});
  state.commands.push({tag: 'connect', endpoint, address, port});
}

function hasAttempts(state: EntryState, endpoint: string): boolean {
  for (const attempt of state.attempts.rows()) {
    if (attempt.endpoint === endpoint) return true;
  }
  return false;
}

function removeMissing(state: EntryState, listed: ReadonlySet<string>): void {
  const records = state.configuration?.endpoints;
  const forgettable = findForgettable([...state.endpoints.rows()], {
    listed,
    isDeclared: (name) => records?.has(name) ?? true,
  });
  for (const name of forgettable) {
    // The list lags: what owes an answer is still there.
    if (hasAttempts(state, name)) continue;
    state.endpoints.remove(name);
    state.commands.push({tag: 'disconnect', endpoint: name});
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
    else if (instance.state === 'leaving') known.leaving = true;
    if (known !== undefined) followAddress(state, known, instance);
  }
  removeMissing(state, new Set(endpoints.map(({name}) => name)));
}
