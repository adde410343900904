import type {Instance} from 'hickorywharf-types/instance';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';

/** Watchers in each failure domain; two, so that one may die unnoticed. */
const WATCHERS_PER_FAILURE_DOMAIN = 2;

/**
 * Whether a process is among the few of its failure domain that watch the
 * configuration in the store. Everyone chooses alike from the instance list;
 * one watcher more or fewer does no harm.
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
