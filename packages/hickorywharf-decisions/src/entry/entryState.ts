import type {ConfigurationView} from '../configuration/configurationView.ts';
import type {Table} from '../table.ts';
import type {EntryCommand} from './entryCommand.ts';
import type {EntryPolicies} from './entryPolicies.ts';
import type {EntryRows} from './entryRows.ts';
import type {EntryLoad} from './load/entryLoad.ts';

/**
 * The state of the decision core of an entry. All times, also the `now` of the
 * functions that change it, are monotonic milliseconds.
 */
export interface EntryState {
  readonly requests: Table<EntryRows['request']>;
  readonly attempts: Table<EntryRows['attempt']>;
  readonly endpoints: Table<EntryRows['endpoint']>;
  /** By the id that `getPartitionId` returns. */
  readonly homes: Table<EntryRows['home']>;
  /** Stage durations by `pipeline/stageIndex`. */
  readonly estimates: Table<EntryRows['estimate']>;
  readonly failureDomain: string;
  readonly routingPolicy: string;
  readonly policies: EntryPolicies;
  readonly load: EntryLoad;
  readonly homePartitionCount: number;
  readonly maximumRequests: number;
  configuration: ConfigurationView | null;
  /** Retries that may be made now; each answered request adds to it. */
  retryBudget: number;
  /** Requests in flight by client account. */
  readonly inFlightByAccount: Map<string, number>;
  /** Numbers in [0, 1). */
  readonly random: () => number;
  nextIdentifier: number;
  /** Null before the first tick. */
  lastTickAt: number | null;
  readonly incarnation: string;
  commands: EntryCommand[];
}
