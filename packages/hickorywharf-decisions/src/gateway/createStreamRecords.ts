import type {StreamOrigin} from 'hickorywharf-types/gateway/streamOrigin';

/** Every `now` is in monotonic milliseconds. */
interface StreamRecords {
  /** Records the version that began a stream; a known stream keeps its own. */
  record(origin: StreamOrigin, now: number): void;
  /** Undefined if the stream is not known, or is too old. */
  find(streamId: string, now: number): FoundOrigin | undefined;
  /** Streams that peers were not told of, and marks them as told. */
  takeUntold(isNeeded: (service: string) => boolean): StreamOrigin[];
  /** Marks a stream as told to peers. */
  markTold(streamId: string): void;
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
  isTold: boolean;
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
          ? {origin, recordedAt: now, isTold: false}
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
    takeUntold(isNeeded) {
      return [...records.values()].flatMap((record) => {
        if (record.isTold || !isNeeded(record.origin.service)) return [];
        record.isTold = true;
        return [record.origin];
      });
    },
    markTold(streamId) {
      const record = records.get(streamId);
      if (record !== undefined) record.isTold = true;
    },
    dropExpired(now, lifetimeMilliseconds) {
      for (const [streamId, {recordedAt}] of records) {
        if (now - recordedAt <= lifetimeMilliseconds) break;
        records.delete(streamId);
      }
    },
  };
}
