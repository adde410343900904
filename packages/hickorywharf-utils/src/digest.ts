import {createHash} from 'node:crypto';

/**
 * Returns the SHA-256 hash of a text, in hexadecimal.
 *
 * @example
 *     digest('reel 7'); // 64 hexadecimal digits
 */
export function digest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
