import {createBodyBuffer} from 'hickorywharf-utils/createBodyBuffer';

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
  getRemainderLength(): number;
  /** Drops an incomplete event, before the stream is sent elsewhere. */
  reset(): void;
}

const EMPTY = Buffer.alloc(0);
const ID_FIELD = /(?:^|\n)id:[ ]?([^\r\n]*)/g;
const DELIMITERS = ['\n\n', '\r\n\r\n'] as const;
/** One less than the longest delimiter. */
const TAIL_LENGTH = 3;

/** The position after the last delimiter; 0 if there is none. */
function findEnd(text: string): number {
  const ends = DELIMITERS.map((delimiter) => {
    const position = text.lastIndexOf(delimiter);
    return position < 0 ? 0 : position + delimiter.length;
  });
  return Math.max(...ends);
}

/**
 * Splits a stream of server-sent events after complete events, so that callers
 * never get part of an event from an endpoint that fails while sending it.
 *
 * @param beginsAfter the id of the last event that callers have
 * @example
 *     const splitter = createEventSplitter();
 *     splitter.append(Buffer.from('id: 1\ndata: a\n\nid: 2')); // the first event
 */
export function createEventSplitter(
  beginsAfter: string | null = null,
): EventSplitter {
  let remainder = createBodyBuffer(Infinity);
  /** The last bytes of the remainder, with which a delimiter may begin. */
  let tail = '';
  let lastId = beginsAfter;

  function setRemainder(bytes: Buffer): void {
    remainder = createBodyBuffer(Infinity);
    if (bytes.length > 0) remainder.append(bytes);
    tail = bytes.subarray(-TAIL_LENGTH).toString('latin1');
  }

  return {
    append(chunk) {
      const text = tail + chunk.toString('latin1');
      const end = findEnd(text);
      if (end === 0) {
        remainder.append(chunk);
        tail = text.slice(-TAIL_LENGTH);
        return null;
      }
      const endInChunk = end - tail.length;
      const last = chunk.subarray(0, endInChunk);
      const events =
        remainder.length === 0
          ? last
          : Buffer.concat([remainder.toBuffer(), last]);
      if (events !== last) remainder.free();
      const ids = events.toString('latin1').matchAll(ID_FIELD);
      for (const [, id] of ids) lastId = id ?? lastId;
      setRemainder(chunk.subarray(endInChunk));
      return events;
    },
    getLastId: () => lastId,
    getRemainder: () => remainder.toBuffer(),
    getRemainderLength: () => remainder.length,
    reset: () => setRemainder(EMPTY),
  };
}
