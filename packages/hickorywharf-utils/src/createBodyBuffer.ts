import {freeBuffer} from './freeBuffer.ts';

interface BodyBuffer {
  /** Number of bytes that were added. */
  readonly length: number;
  /**
   * Adds bytes; the chunk must not be used afterwards. False, without adding
   * them, if the body would be longer than the limit.
   */
  append(chunk: Buffer): boolean;
  /** All bytes, in one buffer. */
  toBuffer(): Buffer;
  /** Frees the memory of a body that is dropped before it was passed on. */
  free(): void;
}

/** Small parts share blocks of this size, so that they cost no object each. */
const BLOCK_BYTES = 16_384;
/** Smaller parts are left to the garbage collector, which costs less. */
const MINIMUM_FREED_BYTES = 4096;

/**
 * Collects a body of limited length from parts of any size.
 *
 * @param maximumBytes the longest body that is accepted
 * @example
 *     const body = createBodyBuffer(4);
 *     body.append(Buffer.from('abc')); // true
 *     body.append(Buffer.from('de')); // false
 */
export function createBodyBuffer(maximumBytes: number): BodyBuffer {
  let blocks: Buffer[] = [];
  let length = 0;
  /** Unused bytes at the end of the last block. */
  let free = 0;

  return {
    get length() {
      return length;
    },
    append(chunk) {
      if (length + chunk.length > maximumBytes) return false;
      length += chunk.length;
      // Memory is not taken before it is filled: what is announced may not come.
      const isBlock = free === 0 && chunk.length >= BLOCK_BYTES;
      if (blocks.length === 0 || isBlock) {
        blocks.push(chunk);
        return true;
      }
      const last = blocks.at(-1)!;
      const copied = chunk.copy(last, last.length - free, 0, free);
      free -= copied;
      const rest = chunk.length - copied;
      if (rest > 0) {
        const block = Buffer.allocUnsafeSlow(Math.max(BLOCK_BYTES, rest));
        chunk.copy(block, 0, copied);
        free = block.length - rest;
        blocks.push(block);
      }
      if (chunk.length >= MINIMUM_FREED_BYTES) freeBuffer(chunk);
      return true;
    },
    toBuffer() {
      if (blocks.length === 1) return blocks[0]!;
      const whole = Buffer.concat(blocks, length);
      blocks.forEach(freeBuffer);
      blocks = [whole];
      free = 0;
      return whole;
    },
    free() {
      blocks.forEach(freeBuffer);
      blocks = [];
      length = 0;
      free = 0;
    },
  };
}
