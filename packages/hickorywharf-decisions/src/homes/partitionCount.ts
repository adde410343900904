/**
 * Number of partitions of a pool's key space. Entries and endpoint processes
 * must agree on it, and the store's records keep it, so that it is no setting.
 */
export const PARTITION_COUNT = 32;
