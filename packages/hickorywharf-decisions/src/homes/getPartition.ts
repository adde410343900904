import {hashNumber} from 'hickorywharf-utils/hashNumber';

/**
 * The part of a pool's key space that an idempotency key belongs to.
 *
 * @example
 *     getPartition('018f…', 32); // 0 to 31
 */
export function getPartition(idempotencyKey: string, parts: number): number {
  return hashNumber(idempotencyKey) % parts;
}
