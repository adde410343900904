import type {ConfigurationView} from '../configuration/configurationView.ts';
import type {HomeMap} from '../homes/homeMap.ts';
import type {Table} from '../table.ts';
import type {EndpointCommand} from './endpointCommand.ts';
import type {EndpointRows} from './endpointRows.ts';
import type {SchedulerState} from './policies/schedulerState.ts';

/** State of the decision core of an endpoint process. */
export interface EndpointState {
  readonly name: string;
  readonly incarnation: string;
  /** Attempts that the backend runs at the same time. */
  readonly slots: number;
  /** Name of the queue policy; see `queuePolicies`. */
  readonly queueOrder: string;
  readonly schedulerState: SchedulerState;
  /** Number of queued attempts from which on new ones are refused. */
  readonly maximumQueueLength: number;
  /** How long finished attempts are retained. */
  readonly retentionMilliseconds: number;
  /** Estimated memory above which finished attempts are evicted early. */
  readonly retentionBytes: number;
  readonly homePartitionCount: number;
  readonly attempts: Table<EndpointRows['attempt']>;
  readonly tombstones: Table<EndpointRows['tombstone']>;
  readonly begunActions: Table<EndpointRows['begunAction']>;
  readonly actions: Table<EndpointRows['action']>;
  /** How far callers' clocks may run ahead of the clock of this home. */
  readonly maximumSkewMilliseconds: number;
  /** The newest observed version of the pool's home record. */
  homes: HomeMap;
  /**
   * Newest release that this process has begun to write for each partition, by
   * the identifier that `getPartitionId` returns.
   */
  readonly releases: Table<EndpointRows['release']>;
  /** Null until the process has a configuration. */
  configuration: ConfigurationView | null;
  /** True once the process was requested to leave. */
  leaving: boolean;
  /**
   * Since when the process has been leaving or its endpoint draining, in
   * monotonic milliseconds; null if neither.
   */
  leavingSince: number | null;
  /** Number of attempts in the state `running`. */
  running: number;
  /** Number of attempts in the state `queued`. */
  queued: number;
  /** Estimated memory of the finished attempts. */
  retainedBytes: number;
  /**
   * Issue time, in milliseconds since the Unix epoch, below which keys without
   * a row in `actions` are refused.
   */
  watermark: number;
  /** Commands of the event that is being handled. */
  commands: EndpointCommand[];
}
