/**
 * Describes the newest snapshot in the store. Writing it commits the snapshot;
 * chunks that it does not refer to are garbage.
 */
export interface SnapshotHead {
  readonly sequence: number;
  /** Identifies the compaction, and is part of the keys of its chunks. */
  readonly operation: string;
  /** Number of chunks. */
  readonly chunks: number;
  /** The operation of the newest entry that the snapshot includes. */
  readonly entryOperation?: string | null;
}
