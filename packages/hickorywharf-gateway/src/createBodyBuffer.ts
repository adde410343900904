interface BodyBuffer {
  /** Number of bytes that were added. */
  readonly length: number;
  /**
   * Adds bytes. False, without adding them, if the body would be longer than
   * the limit.
   */
  append(chunk: Buffer): boolean;
  /** All bytes, in one buffer. */
  toBuffer(): Buffer;
}

/** Small parts share blocks of this size, so that they cost no object each. */
const BLOCK_BYTES = 16_384;

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
  const blocks: Buffer[] = [];
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
      if (blocks.length === 0) {
        blocks.push(chunk);
        return true;
      }
      const last = blocks.at(-1)!;
      const copied = chunk.copy(last, last.length - free, 0, free);
      free -= Math.min(free, chunk.length);
      if (copied === chunk.length) return true;
      const rest = chunk.length - copied;
      const block = Buffer.allocUnsafe(Math.max(BLOCK_BYTES, rest));
      chunk.copy(block, 0, copied);
      free = block.length - rest;
      blocks.push(block);
      return true;
    },
    toBuffer: () =>
      blocks.length === 1 ? blocks[0]! : Buffer.concat(blocks, length),
  };
}
