/**
 * The store's record of its newest snapshot. Writing it is the commit point:
 * chunks that no head names are garbage.
 */
export interface SnapshotHead {
  readonly sequence: number;
  /** Identifies the compaction, and with it the chunks. */
  readonly operation: string;
  readonly chunks: number;
  /** The operation of the newest entry that the snapshot holds. */
  readonly entryOperation?: string | null;
}
