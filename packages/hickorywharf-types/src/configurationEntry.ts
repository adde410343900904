/**
 * One accepted change: an entry of the configuration log. Creating the entry
 * under its sequence number in the store is the commit point, so that all of
 * its changes are in force together or not at all.
 */
export interface ConfigurationEntry {
  /** Position in the log, from 1, without gaps. */
  readonly sequence: number;
  /** Identifies the operator's command, to settle a lost answer. */
  readonly operation: string;
  /**
   * The operation of the entry before, so that entries of a log that went
   * another way, after a store was restored, are not taken for the next.
   */
  readonly previous?: string | null;
  readonly changes: readonly {
    readonly kind: string;
    readonly name: string;
    /** The operator's document as written, or null for a deletion. */
    readonly document: Readonly<Record<string, unknown>> | null;
  }[];
}
