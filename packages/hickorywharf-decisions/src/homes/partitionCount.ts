/**
 * Number of partitions into which a pool's idempotency keys are hashed, for each
 * half and for shared requests. Entries and endpoint processes must agree on it,
 * and the home records in the store number the partitions with it, so it is a
 * constant, not a setting.
 */
export const PARTITION_COUNT = 32;
