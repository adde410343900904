import type {followPolicies} from 'hickorywharf-decisions/configuration/followPolicies';
import type {StoreClient} from 'hickorywharf-platform/storeClient';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import type {ConfigurationReplica} from './configurationReplica.ts';

/** How and with what a process follows the configuration in the store. */
export interface FollowOptions {
  readonly store: StoreClient;
  readonly replica: ConfigurationReplica;
  readonly role: ProcessIdentity['role'];
  readonly policy: keyof typeof followPolicies;
  /** Whether this process is one of the watchers just now. */
  readonly isWatcher: () => boolean;
  /** Entries that are there just now. */
  readonly getEntries: () => number;
  readonly createOperation: () => string;
  /** Numbers in [0, 1), to spread the return after an outage. */
  readonly random: () => number;
  readonly signal: AbortSignal;
}
