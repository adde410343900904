import {planHomes} from 'hickorywharf-decisions/homes/planHomes';
import type {HomeRecord} from 'hickorywharf-decisions/homes/homeRecord';
import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import type {StoreClient} from 'hickorywharf-platform/storeClient';

type PlanOptions = Parameters<typeof planHomes>[1];

interface KeepHomesOptions {
  readonly store: StoreClient;
  readonly getPlanOptions: () => PlanOptions;
  /** Told of the homes to be given up before that is written. */
  readonly onReleasing: (homes: readonly HomeInterval[]) => void;
  /** Told of a record only once it was seen in the store. */
  readonly onKnown: (record: HomeRecord) => void;
}

function getReleased(
  record: HomeRecord,
  incarnation: string,
): readonly HomeInterval[] {
  return record.intervals.filter(
    (interval) => interval.released && interval.incarnation === incarnation,
  );
}

const EMPTY_RECORD: HomeRecord = {intervals: []};

/**
 * Brings the record of the pool's homes one step towards what this process
 * wants. A write counts only once it was seen to land: after an ambiguous
 * write nothing is assumed, and the next call reads it back.
 *
 * @returns false where the store gave no answer
 * @example
 *     await keepHomes({store, getPlanOptions, onKnown});
 */
export async function keepHomes(options: KeepHomesOptions): Promise<boolean> {
  const {store, getPlanOptions, onKnown, onReleasing} = options;
  const {pool} = getPlanOptions();
  const key = `homes/${pool}`;
  const read = await store.get(key);
  if (read.isErr()) return false;
  const record = (read.value?.value as HomeRecord | undefined) ?? EMPTY_RECORD;
  onKnown(record);
  const wanted = planHomes(record, getPlanOptions());
  if (wanted === null) return true;
  onReleasing(getReleased(wanted, getPlanOptions().incarnation));
  const written = await store.compareAndSwap(
    key,
    wanted,
    read.value?.revision ?? 0,
  );
  if (written.isOk()) onKnown(wanted);
  return written.isOk();
}
