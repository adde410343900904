import type {ResponseHandlers} from './responseHandlers.ts';

interface ResponseReader {
  /** Takes bytes as they come; false if they are no HTTP/1.1 response. */
  read(bytes: Buffer): boolean;
  /** The sender closed; true if that completes the response. */
  finish(): boolean;
  /** The body has no length and ends with its connection. */
  isCloseDelimited(): boolean;
  /** The response is whole; bytes after it belong to nothing. */
  isComplete(): boolean;
}

const MAXIMUM_LINE_BYTES = 16_384;
const MAXIMUM_HEAD_LINES = 200;
const STATUS_LINE = /^HTTP\/1\.[01] ([1-5]\d\d)(?: [\t\x20-\x7e\x80-\xff]*)?$/;
const HEADER =
  /^([!#$%&'*+\-.^_`|~\dA-Za-z]+):[ \t]*([\t\x20-\x7e\x80-\xff]*?)[ \t]*$/;
const LENGTH = /^\d{1,15}$/;
const CHUNK_SIZE = /^([\dA-Fa-f]{1,12})[ \t]*(?:;.*)?$/;
const LINE_FEED = 0x0a;
const BODYLESS: ReadonlySet<number> = new Set([204, 304]);

type Part =
  | 'status'
  | 'headers'
  | 'length'
  | 'untilClose'
  | 'chunkSize'
  | 'chunk'
  | 'chunkEnd'
  | 'trailers'
  | 'done'
  | 'broken';

/**
 * Reads one HTTP/1.1 response from the bytes of a connection, and refuses what
 * could be understood in two ways: two lengths, a length beside chunks, folded
 * lines, names with other characters.
 *
 * @param isHeadRequest the response has no body, whatever its head says
 * @example
 *     const reader = createResponseParser(handlers, false);
 *     reader.read(Buffer.from('HTTP/1.1 204 No Content\r\n\r\n')); // true
 */
export function createResponseParser(
  handlers: ResponseHandlers,
  isHeadRequest: boolean,
): ResponseReader {
  let part: Part = 'status';
  let line = '';
  let lines = 0;
  let status = 0;
  let headers: string[] = [];
  let left = 0;
  let lengths: string[] = [];
  let codings: string[] = [];

  function end(): void {
    part = 'done';
    handlers.onEnd();
  }

  function takeHeadEnd(): Part {
    if (status < 200) {
      headers = [];
      lengths = [];
      codings = [];
      return 'status';
    }
    const isChunked = codings.length === 1 && codings[0] === 'chunked';
    const isAmbiguous =
      lengths.length > 1 ||
      (codings.length > 0 && !isChunked) ||
      (isChunked && lengths.length > 0);
    if (isAmbiguous || !lengths.every((text) => LENGTH.test(text))) {
      return 'broken';
    }
    handlers.onHead(status, headers);
    if (isHeadRequest || BODYLESS.has(status)) left = 0;
    else if (isChunked) return 'chunkSize';
    else if (lengths.length === 0) return 'untilClose';
    else left = Number(lengths[0]);
    if (left > 0) return 'length';
    end();
    return 'done';
  }

  const lineHandlers: Partial<Record<Part, (text: string) => Part>> = {
    status(text) {
      const match = STATUS_LINE.exec(text);
      if (match === null) return 'broken';
      status = Number(match[1]);
      return 'headers';
    },
    headers(text) {
      if (text === '') return takeHeadEnd();
      const match = HEADER.exec(text);
      if (match === null) return 'broken';
      const [, name = '', value = ''] = match;
      headers.push(name, value);
      const lower = name.toLowerCase();
      if (lower === 'content-length') lengths.push(value);
      if (lower === 'transfer-encoding') codings.push(value.toLowerCase());
      return 'headers';
    },
    chunkSize(text) {
      const size = CHUNK_SIZE.exec(text)?.[1];
      if (size === undefined) return 'broken';
      left = parseInt(size, 16);
      return left === 0 ? 'trailers' : 'chunk';
    },
    chunkEnd: (text) => (text === '' ? 'chunkSize' : 'broken'),
    trailers(text) {
      if (text !== '') return HEADER.test(text) ? 'trailers' : 'broken';
      end();
      return 'done';
    },
  };

  /** Takes a line if it is whole; gives where the rest begins. */
  function takeLine(bytes: Buffer, start: number): number {
    const feed = bytes.indexOf(LINE_FEED, start);
    const stop = feed < 0 ? bytes.length : feed;
    line += bytes.toString('latin1', start, stop);
    if (line.length > MAXIMUM_LINE_BYTES) part = 'broken';
    if (feed < 0 || part === 'broken') return bytes.length;
    if (!line.endsWith('\r')) {
      part = 'broken';
      return bytes.length;
    }
    const text = line.slice(0, -1);
    line = '';
    lines += 1;
    const isHead = part === 'status' || part === 'headers';
    if (isHead && lines > MAXIMUM_HEAD_LINES) part = 'broken';
    else part = lineHandlers[part]!(text);
    return feed + 1;
  }

  function takeBody(bytes: Buffer, start: number): number {
    const size = Math.min(left, bytes.length - start);
    left -= size;
    handlers.onBody(bytes.subarray(start, start + size));
    if (left > 0) return start + size;
    if (part === 'chunk') part = 'chunkEnd';
    else end();
    return start + size;
  }

  return {
    read(bytes) {
      let position = 0;
      while (position < bytes.length) {
        if (part === 'broken' || part === 'done') return false;
        if (part === 'untilClose') {
          handlers.onBody(bytes.subarray(position));
          return true;
        }
        position =
          part === 'length' || part === 'chunk'
            ? takeBody(bytes, position)
            : takeLine(bytes, position);
      }
      return (part as Part) !== 'broken';
    },
    finish() {
      if (part === 'untilClose') end();
      return part === 'done';
    },
    isCloseDelimited: () =>
      part === 'untilClose' || part === 'status' || part === 'headers',
    isComplete: () => part === 'done',
  };
}
