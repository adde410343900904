/**
 * An entry of the configuration log: the changes of one operator's command.
 * Creating the entry under its sequence number in the store commits it, so that
 * its changes become active all together or not at all.
 */
export interface ConfigurationEntry {
  /** Position in the log, from 1 and without gaps. */
  readonly sequence: number;
  /**
   * Id of the operator's command. After an ambiguous write, the id shows
   * whether the entry in the store is the one that was written.
   */
  readonly operation: string;
  /**
   * The operation of the previous entry; null or undefined if unknown. It keeps
   * entries of a log that diverged, after the store was restored from an older
   * state, from being applied as the next ones.
   */
  readonly previous?: string | null;
  readonly changes: readonly {
    /** Kind of the record, such as `route`. */
    readonly kind: string;
    readonly name: string;
    /** The operator's document as written, or null for a deletion. */
    readonly document: Readonly<Record<string, unknown>> | null;
  }[];
}
