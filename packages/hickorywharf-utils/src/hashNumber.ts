const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Returns an unsigned 32-bit hash of a text, equal in every process: FNV-1a
 * over the UTF-16 code units, then the finalizer of MurmurHash3, which spreads
 * similar texts over the whole range. It does not resist chosen collisions.
 *
 * @example
 *     hashNumber('desk-1') % 64;
 */
export function hashNumber(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
