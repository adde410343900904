import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';

interface FollowInput {
  readonly role: ProcessIdentity['role'];
  /** Whether this process is one of its failure domain's watchers. */
  readonly isWatcher: boolean;
  /** Entries that are there, this one among them. */
  readonly entries: number;
}

/** How a process follows the log in the store. */
interface FollowPolicy {
  isWatching(input: FollowInput): boolean;
  /** Pause between two probes of the store; null for none. */
  getProbeMilliseconds(input: FollowInput): number | null;
}

const MILLISECONDS_PER_SECOND = 1000;
/** Probes of all entries together, whatever their number. */
const FLEET_PROBES_PER_SECOND = 10;
/** No entry probes more often than this, however few there are. */
const MINIMUM_PROBE_MILLISECONDS = 1000;
const POLL_MILLISECONDS = 2000;

function getSharedProbeMilliseconds(input: FollowInput): number | null {
  if (input.role !== 'entry') return null;
  const shared =
    (input.entries / FLEET_PROBES_PER_SECOND) * MILLISECONDS_PER_SECOND;
  return Math.max(MINIMUM_PROBE_MILLISECONDS, shared);
}

/**
 * The ways of following the log. With `watchers`, few entries hold a watch,
 * and all entries probe at a rate that is shared by the whole fleet, so that
 * a change is found with every watcher dead or wrong; `probes` is the same
 * without any watcher. The others are for comparison.
 */
export const followPolicies: Readonly<
  Record<'watchers' | 'probes' | 'watchEach' | 'poll', FollowPolicy>
> = {
  watchers: {
    isWatching: ({role, isWatcher}) => role === 'entry' && isWatcher,
    getProbeMilliseconds: getSharedProbeMilliseconds,
  },
  probes: {
    isWatching: () => false,
    getProbeMilliseconds: getSharedProbeMilliseconds,
  },
  watchEach: {
    isWatching: () => true,
    getProbeMilliseconds: () => null,
  },
  poll: {
    isWatching: () => false,
    getProbeMilliseconds: () => POLL_MILLISECONDS,
  },
};
