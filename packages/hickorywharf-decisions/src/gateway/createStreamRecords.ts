import type {StreamOrigin} from 'hickorywharf-types/gateway/streamOrigin';

/** What was done with a record: told to peers, or kept in the store. */
type StreamMark = 'told' | 'kept';

/** Every `now` is in monotonic milliseconds. */
interface StreamRecords {
  /** Records the version that began a stream; a known stream keeps its own. */
  record(origin: StreamOrigin, now: number): void;
  /** Undefined if the stream is not known, or is too old. */
  find(streamId: string, now: number): FoundOrigin | undefined;
  /** Streams without the mark, which they get. */
  takeUnmarked(
    mark: StreamMark,
    isNeeded: (service: string) => boolean,
  ): StreamOrigin[];
  /** Marks a stream. */
  mark(streamId: string, ...marks: readonly StreamMark[]): void;
  /** Drops the records that are too old. */
  dropExpired(now: number, lifetimeMilliseconds: number): void;
}

interface FoundOrigin {
  readonly origin: StreamOrigin;
  /** Time since the stream began or was last resumed. */
  readonly ageMilliseconds: number;
}

interface StreamRecord {
  readonly origin: StreamOrigin;
  recordedAt: number;
  told: boolean;
  kept: boolean;
}

/**
 * Remembers which software version began each recent stream. Beyond the given
 * number the oldest record is dropped: its stream can't be resumed.
 *
 * @param onDropped called for each record that was dropped for lack of room
 * @example
 *     const records = createStreamRecords(10_000, () => undefined);
 *     records.record({streamId: '9c41', service: 'engines', version: 'v1'}, now);
 */
export function createStreamRecords(
  maximumRecords: number,
  onDropped: () => void,
): StreamRecords {
  const records = new Map<string, StreamRecord>();

  return {
    record(origin, now) {
      const {streamId} = origin;
      const known = records.get(streamId);
      // Moved to the end, as records are dropped in the order of their age.
      records.delete(streamId);
      records.set(
        streamId,
        known === undefined
          ? {origin, recordedAt: now, told: false, kept: false}
          : {...known, recordedAt: now},
      );
      if (records.size <= maximumRecords) return;
      records.delete(records.keys().next().value!);
      onDropped();
    },
    find(streamId, now) {
      const record = records.get(streamId);
      return (
        record && {
          origin: record.origin,
          ageMilliseconds: now - record.recordedAt,
        }
      );
    },
    takeUnmarked(mark, isNeeded) {
      return [...records.values()].flatMap((record) => {
        if (record[mark] || !isNeeded(record.origin.service)) return [];
        record[mark] = true;
        return [record.origin];
      });
    },
    mark(streamId, ...marks) {
      const record = records.get(streamId);
      if (record === undefined) return;
      for (const mark of marks) record[mark] = true;
    },
    dropExpired(now, lifetimeMilliseconds) {
      for (const [streamId, {recordedAt}] of records) {
        if (now - recordedAt <= lifetimeMilliseconds) break;
        records.delete(streamId);
      }
    },
  };
}
