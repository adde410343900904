import type {Instance} from 'hickorywharf-types/instance';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';

/** With two, watching continues while the failure of one is undetected. */
const WATCHERS_PER_FAILURE_DOMAIN = 2;

/**
 * Whether an entry process is one of the few in its failure domain that watch
 * the configuration in the store. Every entry process chooses by rendezvous
 * hashing from its own copy of the instance list, to which it adds itself. If
 * the copies differ, there may be a watcher too many or too few, which does no
 * harm.
 *
 * @param instances the platform's list; only live entry processes of the same
 *     failure domain count
 * @example
 *     isConfigurationWatcher(identity, instances); // true
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
