import type {followPolicies} from 'hickorywharf-decisions/configuration/followPolicies';
import type {StoreClient} from 'hickorywharf-platform/storeClient';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import type {ConfigurationReplica} from './configurationReplica.ts';

/** What a process needs to follow the configuration log in the store. */
export interface FollowOptions {
  readonly store: StoreClient;
  readonly replica: ConfigurationReplica;
  readonly role: ProcessIdentity['role'];
  readonly policy: keyof typeof followPolicies;
  /** Whether this process is currently one of the watchers. */
  readonly isWatcher: () => boolean;
  /** Number of entry processes that are currently running. */
  readonly getEntryCount: () => number;
  readonly createOperation: () => string;
  /** Numbers in [0, 1) for jitter, which spreads calls after an outage. */
  readonly random: () => number;
  readonly signal: AbortSignal;
}
