import type {ResultAsync} from 'neverthrow';
import type {StoreError} from './storeError.ts';
import type {StoreItem} from './storeItem.ts';

/** The platform's key-value service, as the system uses it. */
export interface StoreClient {
  /** The item, or null where the store says that the key does not exist. */
  get(key: string): ResultAsync<StoreItem | null, StoreError>;
  list(prefix: string): ResultAsync<readonly StoreItem[], StoreError>;
  /**
   * Writes where the key's revision is the expected one; 0 means absent.
   * Gives the new revision.
   */
  compareAndSwap(
    key: string,
    value: unknown,
    expectedRevision: number,
  ): ResultAsync<number, StoreError>;
  /** Deletes a key where its revision is the expected one. */
  remove(key: string, expectedRevision: number): ResultAsync<null, StoreError>;
  /** Waits for items under a prefix that changed after a revision. */
  watch(
    prefix: string,
    afterRevision: number,
    waitMilliseconds: number,
  ): ResultAsync<
    {readonly items: readonly StoreItem[]; readonly revision: number},
    StoreError
  >;
}
