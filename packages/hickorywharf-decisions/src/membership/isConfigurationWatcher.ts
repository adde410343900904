import type {Instance} from 'hickorywharf-types/instance';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';

/** Two, so that watching continues while the failure of one is undetected. */
const WATCHERS_PER_FAILURE_DOMAIN = 2;

/**
 * Whether a process is one of the few entries of its failure domain that watch
 * the configuration in the store. Every entry chooses from its own copy of the
 * instance list by rendezvous hashing; a watcher too many or too few does no
 * harm.
 *
 * @example
 *     isConfigurationWatcher(identity, instances);
 */
export function isConfigurationWatcher(
  identity: ProcessIdentity,
  instances: readonly Instance[],
): boolean {
  const entries = instances.filter(
    ({role, state, failureDomain}) =>
      role === 'entry' &&
      state === 'live' &&
      failureDomain === identity.failureDomain,
  );
  const names = new Set(entries.map(({name}) => name));
  names.add(identity.name);
  const ordered = orderByRendezvous('configuration', names);
  return ordered.indexOf(identity.name) < WATCHERS_PER_FAILURE_DOMAIN;
}
