import type {ConfigurationView} from '../configuration/configurationView.ts';
import type {Table} from '../table.ts';
import type {EndpointCommand} from './endpointCommand.ts';
import type {EndpointRows} from './endpointRows.ts';
import type {QueueMemory} from './policies/queueMemory.ts';

/** Everything that an endpoint process's decisions know. */
export interface EndpointState {
  readonly name: string;
  readonly incarnation: string;
  readonly slots: number;
  readonly queueOrder: string;
  readonly queueMemory: QueueMemory;
  readonly maximumQueueLength: number;
  readonly retentionMilliseconds: number;
  readonly retentionBytes: number;
  readonly homeParts: number;
  readonly attempts: Table<EndpointRows['attempt']>;
  readonly tombstones: Table<EndpointRows['tombstone']>;
  readonly begunActions: Table<EndpointRows['begunAction']>;
  readonly actions: Table<EndpointRows['action']>;
  /** By `pool/part`, the newest interval known of each part. */
  readonly homes: Table<EndpointRows['home']>;
  /** By `pool/part`. */
  readonly releases: Table<EndpointRows['release']>;
  configuration: ConfigurationView | null;
  leaving: boolean;
  running: number;
  queued: number;
  retainedBytes: number;
  /** Issue time below which keys that are not in the table are refused. */
  watermark: number;
  commands: EndpointCommand[];
}
