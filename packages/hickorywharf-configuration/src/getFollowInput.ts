import type {followPolicies} from 'hickorywharf-decisions/configuration/followPolicies';
import type {FollowOptions} from './followOptions.ts';

type FollowInput = Parameters<
  (typeof followPolicies)['watchers']['isWatching']
>[0];

/**
 * What a policy of following needs to know of this process just now.
 *
 * @example
 *     followPolicies.watchers.isWatching(getFollowInput(options));
 */
export function getFollowInput(options: FollowOptions): FollowInput {
  return {
    role: options.role,
    isWatcher: options.isWatcher(),
    entries: Math.max(1, options.getEntries()),
  };
}
