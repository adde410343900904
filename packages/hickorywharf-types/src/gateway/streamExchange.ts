import type {StreamOrigin} from './streamOrigin.ts';

/** What instances tell each other of streams, in heartbeats. */
export interface StreamExchange {
  /** Streams that began, for those that keep records of them. */
  readonly origins?: readonly StreamOrigin[];
  /** Asks where streams began. */
  readonly questions?: ReadonlyArray<{
    readonly askId: number;
    readonly streamId: string;
    readonly service: string;
  }>;
  /** Replies to questions; null for streams that are not known. */
  readonly answers?: ReadonlyArray<{
    readonly askId: number;
    readonly origin: StreamOrigin | null;
  }>;
}
