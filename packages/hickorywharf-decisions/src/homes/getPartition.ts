import {hashNumber} from 'hickorywharf-utils/hashNumber';

/**
 * Returns the number, from 0, of the partition that an idempotency key hashes
 * to.
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
