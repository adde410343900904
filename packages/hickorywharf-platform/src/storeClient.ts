import type {ResultAsync} from 'neverthrow';
import type {StoreError} from './storeError.ts';
import type {StoreItem} from './storeItem.ts';

/** The operations that the system uses of the platform's key-value store. */
export interface StoreClient {
  /** Returns the item, or null where the store reports that it is absent. */
  get(key: string): ResultAsync<StoreItem | null, StoreError>;
  /** Returns all items whose keys start with a prefix. */
  list(prefix: string): ResultAsync<readonly StoreItem[], StoreError>;
  /**
   * Writes the value if the key has the expected revision, where 0 means that
   * the key does not exist. Returns the new revision; fails with `conflict`
   * where the revision is another one.
   */
  compareAndSwap(
    key: string,
    value: unknown,
    expectedRevision: number,
  ): ResultAsync<number, StoreError>;
  /** Deletes the key if it has the expected revision, else `conflict`. */
  remove(key: string, expectedRevision: number): ResultAsync<null, StoreError>;
  /**
   * Waits until items whose keys start with a prefix change after a revision,
   * or for `waitMilliseconds`. Returns the items, if any, and the revision up
   * to which changes are included.
   */
  watch(
    prefix: string,
    afterRevision: number,
    waitMilliseconds: number,
  ): ResultAsync<
    {readonly items: readonly StoreItem[]; readonly revision: number},
    StoreError
  >;
}
