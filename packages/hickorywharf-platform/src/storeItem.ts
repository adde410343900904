/** A key of the platform's store, with its value and revision. */
export interface StoreItem {
  readonly key: string;
  readonly value: unknown;
  /** Revision of the store at which the key was last written. */
  readonly revision: number;
}
