import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import {emptyHomeRecord} from './emptyHomeRecord.ts';
import type {HomeRecord} from './homeRecord.ts';
import {planHomes} from './planHomes.ts';
import type {HomePlanOptions} from './homePlanOptions.ts';

interface HomeWrite {
  readonly record: HomeRecord;
  readonly expectedRevision: number;
  /**
   * Intervals that the write releases. The caller must stop running their keys
   * before it sends the write, which may be applied without a confirmation.
   */
  readonly releasing: readonly HomeInterval[];
}

type WriteOutcome =
  | {readonly tag: 'written'; readonly revision: number}
  /** The write may or may not have been applied; only a read shows which. */
  | {readonly tag: 'ambiguous'};

interface HomeRecordWriter {
  /** True until the record is read after a write with an unknown outcome. */
  readonly needsRead: boolean;
  /** Applies the result of a read; null if the record does not exist. */
  observe(record: HomeRecord | null, revision: number): void;
  /** The next write; null if there is none or one is still in flight. */
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
 * pool. After a write with an unknown outcome it plans nothing until the record
 * has been read again. Does no input or output itself.
 *
 * @example
 *     const writer = createHomeRecordWriter();
 *     writer.observe(null, 0);
 *     const write = writer.plan(options);
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
