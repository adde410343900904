import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import {emptyHomeRecord} from './emptyHomeRecord.ts';
import type {HomeRecord} from './homeRecord.ts';
import {planHomes} from './planHomes.ts';
import type {HomePlanOptions} from './homePlanOptions.ts';

interface HomeWrite {
  readonly record: HomeRecord;
  readonly expectedRevision: number;
  /**
   * Intervals of this process that are released in `record`. The caller must
   * refuse keys from their `until` on before it sends the write, since the
   * write may be applied without a confirmation.
   */
  readonly releasing: readonly HomeInterval[];
}

type WriteOutcome =
  | {readonly tag: 'written'; readonly revision: number}
  /**
   * The write was rejected, not sent, or perhaps applied without a response;
   * only a read shows which.
   */
  | {readonly tag: 'ambiguous'};

interface HomeRecordWriter {
  /**
   * True before the first read, and from an ambiguous write to the next read.
   */
  readonly needsRead: boolean;
  /**
   * Applies the result of a read; `record` is null if it does not exist. A read
   * of an older revision than the latest one changes only `needsRead`.
   */
  observe(record: HomeRecord | null, revision: number): void;
  /**
   * Returns the next write; null if `planHomes` returns null, a write is in
   * flight or a read is needed first.
   */
  plan(options: HomePlanOptions): HomeWrite | null;
  /** Ends the write in flight; true if it is known to have been applied. */
  complete(outcome: WriteOutcome): boolean;
}

function getReleasing(
  record: HomeRecord,
  incarnation: string,
): readonly HomeInterval[] {
  return record.intervals.filter(
    (interval) => interval.released && interval.incarnation === incarnation,
  );
}

/**
 * Plans an endpoint process's compare-and-swap writes to the home record of its
 * pool. After an ambiguous write it plans nothing until the record has been
 * read again. It does no input or output itself.
 *
 * @example
 *     const writer = createHomeRecordWriter();
 *     writer.observe(null, 0);
 *     writer.plan(options)?.expectedRevision; // 0
 */
export function createHomeRecordWriter(): HomeRecordWriter {
  let latest = {record: emptyHomeRecord, revision: 0};
  let pending: HomeWrite | null = null;
  let needsRead = true;
  return {
    get needsRead() {
      return needsRead;
    },
    observe(record, revision) {
      needsRead = false;
      if (revision < latest.revision) return;
      latest = {record: record ?? emptyHomeRecord, revision};
    },
    plan(options) {
      if (needsRead || pending !== null) return null;
      const record = planHomes(latest.record, options);
      if (record === null) return null;
      const releasing = getReleasing(record, options.incarnation);
      pending = {record, expectedRevision: latest.revision, releasing};
      return pending;
    },
    complete(outcome) {
      const written = pending;
      pending = null;
      if (outcome.tag !== 'written' || written === null) {
        needsRead = true;
        return false;
      }
      latest = {record: written.record, revision: outcome.revision};
      return true;
    },
  };
}
