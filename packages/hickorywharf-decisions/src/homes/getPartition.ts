import {hashNumber} from 'hickorywharf-utils/hashNumber';

/**
 * The partition of a pool's key space that an idempotency key belongs to.
 *
 * @param parts number of partitions
 * @example
 *     getPartition('018f…', 32); // 0 to 31
 */
export function getPartition(idempotencyKey: string, parts: number): number {
  return hashNumber(idempotencyKey) % parts;
}
