import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';

interface FollowInput {
  readonly role: ProcessIdentity['role'];
  /** Whether this process is one of its failure domain's watchers. */
  readonly isWatcher: boolean;
  /** Number of running entry processes, this one included. */
  readonly entries: number;
}

/** How a process follows the configuration log in the store. */
interface FollowPolicy {
  isWatching(input: FollowInput): boolean;
  /** Mean interval between probes of the store; null for no probes. */
  getProbeMilliseconds(input: FollowInput): number | null;
}

const MILLISECONDS_PER_SECOND = 1000;
/** Rate of all entry processes together; bounds the load on the store. */
const TOTAL_PROBES_PER_SECOND = 10;
/** Shortest interval of one entry process, however few there are. */
const MINIMUM_PROBE_MILLISECONDS = 1000;
/** Interval of each process with the policy `poll`. */
const POLL_MILLISECONDS = 2000;

function getSharedProbeMilliseconds(input: FollowInput): number | null {
  if (input.role !== 'entry') return null;
  const shared =
    (input.entries / TOTAL_PROBES_PER_SECOND) * MILLISECONDS_PER_SECOND;
  return Math.max(MINIMUM_PROBE_MILLISECONDS, shared);
}

/**
 * Policies for following the configuration log. With `watchers`, a few entry
 * processes hold a watch on the store and all entry processes probe it at a
 * bounded total rate, so that a change is found even if every watcher has failed
 * or missed it.
 * `probes` does the same without watches. `watchEach`, a watch in every
 * process, and `poll`, a fixed interval in every process, serve as baselines in
 * experiments.
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
