/** A configuration document as the log keeps it: the operator's own form. */
export interface StoredDocument {
  readonly kind: string;
  readonly name: string;
  /** Position in the log of the change that wrote it. */
  readonly sequence: number;
  readonly document: Readonly<Record<string, unknown>>;
  /**
   * The last document of each older schema version, newest first, for
   * processes that cannot read the current one yet.
   */
  readonly earlier?: readonly Readonly<Record<string, unknown>>[];
}
