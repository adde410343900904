/**
 * Returns the identifier of a partition of a pool's idempotency keys, which are
 * partitioned separately for each half; a null half stands for shared requests.
 *
 * @example
 *     getPartitionId({pool: 'desks', half: null, part: 3}); // 'desks//3'
 */
export function getPartitionId(partition: {
  readonly pool: string;
  readonly half: string | null;
  readonly part: number;
}): string {
  return `${partition.pool}/${partition.half ?? ''}/${partition.part}`;
}
