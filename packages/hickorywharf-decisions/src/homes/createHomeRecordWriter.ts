import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import {emptyHomeRecord} from './emptyHomeRecord.ts';
import type {HomeRecord} from './homeRecord.ts';
import {planHomes} from './planHomes.ts';
import type {HomePlanOptions} from './homePlanOptions.ts';

interface HomeWrite {
  readonly record: HomeRecord;
  readonly expectedRevision: number;
  /** Intervals that the write gives up: to be honoured before it is sent. */
  readonly releasing: readonly HomeInterval[];
}

type WriteOutcome =
  | {readonly tag: 'written'; readonly revision: number}
  /** Lost, not sent, or perhaps landed: only a read tells. */
  | {readonly tag: 'unsettled'};

interface HomeRecordWriter {
  /** True until the record has been read since the last unsettled write. */
  readonly needsRead: boolean;
  /** Takes the record as the store had it; null where it does not exist. */
  observe(record: HomeRecord | null, revision: number): void;
  /** The next write, or null. Only one write is out at a time. */
  plan(options: HomePlanOptions): HomeWrite | null;
  /** True where the write is known to have landed. */
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
 * Keeps an endpoint process's share of its pool's homes, step by step. Nothing
 * is concluded from a write whose outcome is not known.
 *
 * @example
 *     const agent = createHomeRecordWriter();
 *     agent.see(null, 0);
 *     const write = agent.plan(options);
 */
export function createHomeRecordWriter(): HomeRecordWriter {
  let seen = {record: emptyHomeRecord, revision: 0};
  let writing: HomeWrite | null = null;
  let needsRead = true;
  return {
    get needsRead() {
      return needsRead;
    },
    observe(record, revision) {
      needsRead = false;
      if (revision < seen.revision) return;
      seen = {record: record ?? emptyHomeRecord, revision};
    },
    plan(options) {
      if (needsRead || writing !== null) return null;
      const record = planHomes(seen.record, options);
      if (record === null) return null;
      const releasing = getReleasing(record, options.incarnation);
      writing = {record, expectedRevision: seen.revision, releasing};
      return writing;
    },
    complete(outcome) {
      const written = writing;
      writing = null;
      if (outcome.tag !== 'written' || written === null) {
        needsRead = true;
        return false;
      }
      seen = {record: written.record, revision: outcome.revision};
      return true;
    },
  };
}
