/**
 * An entry of the configuration log: the changes of one operator's command.
 * Creating the entry under its sequence number in the store commits it, so that
 * its changes become active all together or not at all.
 */
export interface ConfigurationEntry {
  /** Position in the log, from 1, without gaps. */
  readonly sequence: number;
  /** Id of the operator's command, by which an ambiguous write is resolved. */
  readonly operation: string;
  /**
   * The operation of the previous entry. A log that diverged after the store
   * was restored is detected by it.
   */
  readonly previous?: string | null;
  readonly changes: readonly {
    readonly kind: string;
    readonly name: string;
    /** The operator's document as written, or null for a deletion. */
    readonly document: Readonly<Record<string, unknown>> | null;
  }[];
}
