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
  readonly queueOrder: string;
  readonly schedulerState: SchedulerState;
  readonly maximumQueueLength: number;
  readonly retentionMilliseconds: number;
  readonly retentionBytes: number;
  readonly homePartitionCount: number;
  readonly attempts: Table<EndpointRows['attempt']>;
  readonly tombstones: Table<EndpointRows['tombstone']>;
  readonly begunActions: Table<EndpointRows['begunAction']>;
  readonly actions: Table<EndpointRows['action']>;
  /** How far callers' clocks may run ahead of this process's clock. */
  readonly maximumSkewMilliseconds: number;
  /** The pool's home record as last read from the store. */
  homes: HomeMap;
  /** By the partition that `getPartitionId` identifies. */
  readonly releases: Table<EndpointRows['release']>;
  configuration: ConfigurationView | null;
  leaving: boolean;
  /** Since when the endpoint has been leaving or draining; null if not. */
  leavingSince: number | null;
  running: number;
  queued: number;
  retainedBytes: number;
  /** Issue time below which keys without a row in `actions` are refused. */
  watermark: number;
  commands: EndpointCommand[];
}
