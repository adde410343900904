import type {followPolicies} from 'hickorywharf-decisions/configuration/followPolicies';
import type {FollowOptions} from './followOptions.ts';

type FollowInput = Parameters<
  (typeof followPolicies)['watchers']['isWatching']
>[0];

/**
 * Returns the input of a follow policy for this process's current state.
 *
 * @example
 *     followPolicies.watchers.isWatching(getFollowInput(options));
 */
export function getFollowInput(options: FollowOptions): FollowInput {
  return {
    role: options.role,
    isWatcher: options.isWatcher(),
    // This process may not be listed yet.
    entries: Math.max(1, options.getEntryCount()),
  };
}
