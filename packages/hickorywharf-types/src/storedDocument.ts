/** A configuration document in the form that the operator wrote. */
export interface StoredDocument {
  /** Kind of the record, such as `route`. */
  readonly kind: string;
  readonly name: string;
  /** Position in the log of the entry that wrote it. */
  readonly sequence: number;
  readonly document: Readonly<Record<string, unknown>>;
  /**
   * The last document of each older schema version, newest first, for
   * processes that cannot read the current one yet.
   */
  readonly earlier?: readonly Readonly<Record<string, unknown>>[];
}
