/** The tombstone of a deleted configuration document. */
export interface StoredDeletion {
  /** Kind of the record, such as `route`. */
  readonly kind: string;
  readonly name: string;
  /** Position in the log of the entry that deleted it. */
  readonly sequence: number;
}
