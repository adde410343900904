import {hashNumber} from 'hickorywharf-utils/hashNumber';

/**
 * Returns the number, from 0, of the partition of a pool's key space that an
 * idempotency key belongs to.
 *
 * @example
 *     getPartition('booking-7', 4); // 3
 */
export function getPartition(
  idempotencyKey: string,
  partitionCount: number,
): number {
  return hashNumber(idempotencyKey) % partitionCount;
}
