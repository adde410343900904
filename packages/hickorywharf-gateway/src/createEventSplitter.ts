interface EventSplitter {
  /**
   * Adds bytes. Returns the complete events that were not returned before, null
   * if there are none.
   */
  append(chunk: Buffer): Buffer | null;
  /** The id of the last complete event; null before the first. */
  getLastId(): string | null;
  /** Bytes of an incomplete event. */
  getRemainder(): Buffer;
  /** Drops an incomplete event, before the stream is sent elsewhere. */
  reset(): void;
}

const EMPTY = Buffer.alloc(0);

/**
 * Splits a stream of server-sent events after complete events, so that callers
 * never get part of an event from an endpoint that fails while sending it.
 *
 * @example
 *     const splitter = createEventSplitter();
 *     splitter.append(Buffer.from('id: 1\ndata: a\n\nid: 2')); // the first event
 */
export function createEventSplitter(): EventSplitter {
  let remainder: Buffer = EMPTY;
  let lastId: string | null = null;

  return {
    append(chunk) {
      const bytes =
        remainder.length === 0 ? chunk : Buffer.concat([remainder, chunk]);
      const text = bytes.toString('latin1');
      const end = Math.max(
        text.lastIndexOf('\n\n') + 2,
        text.lastIndexOf('\r\n\r\n') + 4,
      );
      if (end < 4) {
        remainder = bytes;
        return null;
      }
      const ids = text.slice(0, end).matchAll(/(?:^|\n)id:[ ]?([^\r\n]*)/g);
      for (const [, id] of ids) lastId = id ?? lastId;
      remainder = end === bytes.length ? EMPTY : bytes.subarray(end);
      return end === bytes.length ? bytes : bytes.subarray(0, end);
    },
    getLastId: () => lastId,
    getRemainder: () => remainder,
    reset() {
      remainder = EMPTY;
    },
  };
}
