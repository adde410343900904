import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import type {HomeRecord} from './homeRecord.ts';

/** The intervals of one partition. */
interface PartitionIntervals {
  readonly newest: HomeRecord['intervals'][number];
  /** Oldest first, `newest` included. */
  readonly all: readonly HomeInterval[];
}

/** A pool's home record, indexed by partition. */
export interface HomeMap {
  /** Revision of the store at which the record was read or written. */
  readonly revision: number;
  readonly record: HomeRecord;
  /** By the identifier that `getPartitionId` returns. */
  readonly partitions: ReadonlyMap<string, PartitionIntervals>;
  /** Halves that have intervals; null stands for shared requests. */
  readonly halves: ReadonlySet<string | null>;
}
