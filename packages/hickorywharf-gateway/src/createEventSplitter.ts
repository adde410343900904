interface EventSplitter {
  /** Takes bytes, and gives those that complete events; null if none do. */
  take(chunk: Buffer): Buffer | null;
  /** The id of the last complete event; null before the first. */
  getLastId(): string | null;
  /** Bytes of an event that is not complete. */
  getRemainder(): Buffer;
  /** Drops an incomplete event, before the stream goes on elsewhere. */
  reset(): void;
}

const EMPTY = Buffer.alloc(0);

/**
 * Cuts a stream of events after complete events, so that an endpoint that
 * breaks off in the middle of one leaves nothing behind.
 *
 * @example
 *     const splitter = createEventSplitter();
 *     splitter.take(Buffer.from('id: 1\ndata: a\n\nid: 2')); // the first event
 */
export function createEventSplitter(): EventSplitter {
  let rest: Buffer = EMPTY;
  let lastId: string | null = null;

  return {
    take(chunk) {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const text = bytes.toString('latin1');
      const end = Math.max(
        text.lastIndexOf('\n\n') + 2,
        text.lastIndexOf('\r\n\r\n') + 4,
      );
      if (end < 4) {
        rest = bytes;
        return null;
      }
      const ids = text.slice(0, end).matchAll(/(?:^|\n)id:[ ]?([^\r\n]*)/g);
      for (const [, id] of ids) lastId = id ?? lastId;
      rest = end === bytes.length ? EMPTY : bytes.subarray(end);
      return end === bytes.length ? bytes : bytes.subarray(0, end);
    },
    getLastId: () => lastId,
    getRemainder: () => rest,
    reset() {
      rest = EMPTY;
    },
  };
}
