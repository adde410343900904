import {randomBytes} from 'node:crypto';

/**
 * Creates a UUID version 7 (RFC 9562): 48 bits of issue time, then random bits.
 *
 * @param wallMilliseconds issue time, milliseconds since the epoch
 * @example
 *     createUuid7(Date.now());
 */
export function createUuid7(wallMilliseconds: number): string {
  const bytes = randomBytes(16);
  bytes.writeUIntBE(Math.trunc(wallMilliseconds), 0, 6);
  bytes[6] = 0x70 | (bytes[6]! & 0x0f);
  bytes[8] = 0x80 | (bytes[8]! & 0x3f);
  const hexadecimal = bytes.toString('hex');
  return [
    hexadecimal.slice(0, 8),
    hexadecimal.slice(8, 12),
    hexadecimal.slice(12, 16),
    hexadecimal.slice(16, 20),
    hexadecimal.slice(20),
  ].join('-');
}
