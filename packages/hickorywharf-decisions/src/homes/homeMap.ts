import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import type {HomeRecord} from './homeRecord.ts';

/** The intervals of one half and part, oldest first. */
interface PartitionIntervals {
  readonly newest: HomeRecord['intervals'][number];
  readonly all: readonly HomeInterval[];
}

/** The record of a pool's homes, indexed. */
export interface HomeMap {
  /** Revision of the store at which the record was seen. */
  readonly revision: number;
  readonly record: HomeRecord;
  /** By the name that `getPartitionId` gives. */
  readonly partitions: ReadonlyMap<string, PartitionIntervals>;
  readonly halves: ReadonlySet<string | null>;
}
