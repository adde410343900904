import type {Instance} from 'hickorywharf-types/instance';
import {findRemovableMembers} from '../../membership/findRemovableMembers.ts';
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
    isListedLeaving: instance.state === 'leaving',
    inFlight: 0,
    load: null,
    loadReportedAt: 0,
    sentSinceReport: 0,
    lastSeenAt: 0,
  });
  state.commands.push({tag: 'connect', endpoint: name, address, port});
}

function updateEndpoint(
  state: EntryState,
  known: EntryRows['endpoint'],
  instance: Instance,
): void {
  known.isListedLeaving = instance.state === 'leaving';
  const {address, port} = instance;
  const hasMoved = known.address !== address || known.port !== port;
  // The list may be out of date: a connected process has not moved.
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
  const records = state.configuration?.endpoints;
  const removable = findRemovableMembers([...state.endpoints.rows()], {
    listed,
    isDeclared: (name) => records?.has(name) ?? true,
  });
  for (const name of removable) {
    // The list may be out of date: the endpoint can still answer attempts.
    if (hasAttempts(state, name)) continue;
    state.endpoints.remove(name);
    state.commands.push({tag: 'disconnect', endpoint: name});
  }
}

/**
 * Applies the platform's list of instances, which may be out of date: connects
 * to new endpoints and to those that are not connected and have a new address,
 * removes those that `findRemovableMembers` finds unless they have attempts, and
 * counts the live entries, at least 1.
 *
 * @example
 *     handleInstancesListed(state, instances);
 *     state.load.entryCount; // 3
 */
export function handleInstancesListed(
  state: EntryState,
  instances: readonly Instance[],
): void {
  const entries = instances.filter(
    ({role, state: status}) => role === 'entry' && status === 'live',
  );
  state.load.entryCount = Math.max(1, entries.length);
  const endpoints = instances.filter(({role}) => role === 'endpoint');
  for (const instance of endpoints) {
    const known = state.endpoints.get(instance.name);
    if (known === undefined) addEndpoint(state, instance);
    else updateEndpoint(state, known, instance);
  }
  removeMissing(state, new Set(endpoints.map(({name}) => name)));
}
