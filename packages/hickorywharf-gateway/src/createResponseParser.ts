import type {ResponseHandlers} from './responseHandlers.ts';

interface ResponseParser {
  /** Parses the next bytes; false if they are not a valid response. */
  read(bytes: Buffer): boolean;
  /** Handles the end of the connection; true if the response is complete. */
  finish(): boolean;
  /** Whether the end of the connection may delimit the body. */
  isCloseDelimited(): boolean;
  /** Whether the response is complete; bytes after it are invalid. */
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

type ParserState =
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
 * Parses one HTTP/1.1 response incrementally. It rejects responses that could
 * be understood in two ways: several lengths, a length with a transfer coding,
 * folded lines, header names with invalid characters.
 *
 * @param isHeadRequest the response has no body, whatever its head says
 * @example
 *     const parser = createResponseParser(handlers, false);
 *     parser.read(Buffer.from('HTTP/1.1 204 No Content\r\n\r\n')); // true
 */
export function createResponseParser(
  handlers: ResponseHandlers,
  isHeadRequest: boolean,
): ResponseParser {
  let state: ParserState = 'status';
  let line = '';
  let lines = 0;
  let status = 0;
  let headers: string[] = [];
  let remaining = 0;
  let contentLengths: string[] = [];
  let codings: string[] = [];

  function end(): void {
    state = 'done';
    handlers.onEnd();
  }

  function endHead(): ParserState {
    if (status < 200) {
      headers = [];
      contentLengths = [];
      codings = [];
      return 'status';
    }
    const isChunked = codings.length === 1 && codings[0] === 'chunked';
    const isAmbiguous =
      contentLengths.length > 1 ||
      (codings.length > 0 && !isChunked) ||
      (isChunked && contentLengths.length > 0);
    if (isAmbiguous || !contentLengths.every((text) => LENGTH.test(text))) {
      return 'broken';
    }
    handlers.onHead(status, headers);
    if (isHeadRequest || BODYLESS.has(status)) remaining = 0;
    else if (isChunked) return 'chunkSize';
    else if (contentLengths.length === 0) return 'untilClose';
    else remaining = Number(contentLengths[0]);
    if (remaining > 0) return 'length';
    end();
    return 'done';
  }

  const lineHandlers: Partial<
    Record<ParserState, (text: string) => ParserState>
  > = {
    status(text) {
      const match = STATUS_LINE.exec(text);
      if (match === null) return 'broken';
      status = Number(match[1]);
      return 'headers';
    },
    headers(text) {
      if (text === '') return endHead();
      const match = HEADER.exec(text);
      if (match === null) return 'broken';
      const [, name = '', value = ''] = match;
      headers.push(name, value);
      const lower = name.toLowerCase();
      if (lower === 'content-length') contentLengths.push(value);
      if (lower === 'transfer-encoding') codings.push(value.toLowerCase());
      return 'headers';
    },
    chunkSize(text) {
      const size = CHUNK_SIZE.exec(text)?.[1];
      if (size === undefined) return 'broken';
      remaining = parseInt(size, 16);
      return remaining === 0 ? 'trailers' : 'chunk';
    },
    chunkEnd: (text) => (text === '' ? 'chunkSize' : 'broken'),
    trailers(text) {
      if (text !== '') return HEADER.test(text) ? 'trailers' : 'broken';
      end();
      return 'done';
    },
  };

  /** Parses a line once it is complete; returns the position after it. */
  function consumeLine(bytes: Buffer, start: number): number {
    const feed = bytes.indexOf(LINE_FEED, start);
    const stop = feed < 0 ? bytes.length : feed;
    line += bytes.toString('latin1', start, stop);
    if (line.length > MAXIMUM_LINE_BYTES) state = 'broken';
    if (feed < 0 || state === 'broken') return bytes.length;
    if (!line.endsWith('\r')) {
      state = 'broken';
      return bytes.length;
    }
    const text = line.slice(0, -1);
    line = '';
    lines += 1;
    const isHead = state === 'status' || state === 'headers';
    if (isHead && lines > MAXIMUM_HEAD_LINES) state = 'broken';
    else state = lineHandlers[state]!(text);
    return feed + 1;
  }

  function consumeBody(bytes: Buffer, start: number): number {
    const size = Math.min(remaining, bytes.length - start);
    remaining -= size;
    handlers.onBody(bytes.subarray(start, start + size));
    if (remaining > 0) return start + size;
    if (state === 'chunk') state = 'chunkEnd';
    else end();
    return start + size;
  }

  return {
    read(bytes) {
      let position = 0;
      while (position < bytes.length) {
        if (state === 'broken' || state === 'done') return false;
        if (state === 'untilClose') {
          handlers.onBody(bytes.subarray(position));
          return true;
        }
        position =
          state === 'length' || state === 'chunk'
            ? consumeBody(bytes, position)
            : consumeLine(bytes, position);
      }
      return (state as ParserState) !== 'broken';
    },
    finish() {
      if (state === 'untilClose') end();
      return state === 'done';
    },
    isCloseDelimited: () =>
      state === 'untilClose' || state === 'status' || state === 'headers',
    isComplete: () => state === 'done',
  };
}
