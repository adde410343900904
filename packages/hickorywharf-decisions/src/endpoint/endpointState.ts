import type {ConfigurationView} from '../configuration/configurationView.ts';
import type {HomeMap} from '../homes/homeMap.ts';
import type {Table} from '../table.ts';
import type {EndpointCommand} from './endpointCommand.ts';
import type {EndpointRows} from './endpointRows.ts';
import type {SchedulerState} from './policies/schedulerState.ts';

/** Everything that an endpoint process's decisions know. */
export interface EndpointState {
  readonly name: string;
  readonly incarnation: string;
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
  /** How far callers' clocks may run ahead of this home's. */
  readonly maximumSkewMilliseconds: number;
  /** The homes of the pool as last seen in the store. */
  homes: HomeMap;
  /** By the name that `getPartitionId` gives. */
  readonly releases: Table<EndpointRows['release']>;
  configuration: ConfigurationView | null;
  leaving: boolean;
  /** When the endpoint was first seen leaving or draining, or null. */
  leavingSince: number | null;
  running: number;
  queued: number;
  retainedBytes: number;
  /** Issue time below which keys that are not in the table are refused. */
  watermark: number;
  commands: EndpointCommand[];
}
