import {createStatusLineFinder} from './createStatusLineFinder.ts';
import type {ResponseHandlers} from './responseHandlers.ts';
import {trimBlanks} from './trimBlanks.ts';

interface ResponseParser {
  /** Parses the next bytes; false if they are not a valid response. */
  read(bytes: Buffer): boolean;
  /** Handles the end of the connection; true if the response is complete. */
  finish(): boolean;
  /** Whether the end of the connection may delimit the body. */
  isCloseDelimited(): boolean;
  /** Whether the response is complete; bytes after it are invalid. */
  isComplete(): boolean;
  /** Why the bytes were rejected, once `read` has returned false. */
  getError(): string;
}

const MAXIMUM_LINE_BYTES = 16_384;
const MAXIMUM_HEAD_LINES = 200;
/** All heads of a response, those of interim responses included. */
const MAXIMUM_HEAD_BYTES = 65_536;
/** The chunk extensions of a whole response, which nothing here reads. */
const MAXIMUM_CHUNK_EXTENSION_BYTES = 16_384;
const MAXIMUM_TRAILER_BYTES = 16_384;
const STATUS_LINE = /^HTTP\/1\.[01] ([1-5]\d\d)(?: [\t\x20-\x7e\x80-\xff]*)?$/;
/** The status line of another response, behind a line that broke off. */
const JOINED_STATUS_LINE = /.HTTP\/1\.[01] [1-5]\d\d(?: |$)/;
/** The value includes the blanks around it, so that it matches in one pass. */
const HEADER = /^([!#$%&'*+\-.^_`|~\dA-Za-z]+):([\t\x20-\x7e\x80-\xff]*)$/;
const LENGTH = /^\d{1,15}$/;
const CHUNK_SIZE = /^([\dA-Fa-f]{1,12})[ \t]*(?:;.*)?$/;
/** A line, or the start of one, without a chunk extension. */
const PLAIN_CHUNK_SIZE = /^[\dA-Fa-f]*\r?$/;
const CARRIAGE_RETURN = 0x0d;
const LINE_FEED = 0x0a;
const BODYLESS: ReadonlySet<number> = new Set([204, 304]);
const HEAD = {name: 'head', maximumBytes: MAXIMUM_HEAD_BYTES} as const;

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

/** The limited part of a response to which the lines of a state belong. */
const LIMITED_PARTS: Partial<
  Record<ParserState, {readonly name: string; readonly maximumBytes: number}>
> = {
  status: HEAD,
  headers: HEAD,
  chunkSize: {
    name: 'chunk extensions',
    maximumBytes: MAXIMUM_CHUNK_EXTENSION_BYTES,
  },
  trailers: {name: 'trailers', maximumBytes: MAXIMUM_TRAILER_BYTES},
};

/**
 * Parses one HTTP/1.1 response incrementally. It rejects responses that could
 * be understood in two ways: several lengths, a length with a transfer coding,
 * folded lines, header names with invalid characters, the status line of another
 * response within a line of the head or in a body that ends with its connection,
 * and one in a body with a length that more bytes follow. From one in a chunk on,
 * it waits for the end of the chunk. It also rejects heads, chunk extensions and
 * trailers above a limit, but limits no body.
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
  let error = 'bytes that are no answer';
  let statusLines = createStatusLineFinder();
  /** Bytes of the complete lines of each limited part. */
  const partBytes = new Map<string, number>();

  function reject(reason: string): void {
    error = reason;
    state = 'broken';
  }

  /** Adds bytes to the part of the current state; rejects one over its limit. */
  function checkPart(addedBytes: number, isLineComplete: boolean): void {
    const part = LIMITED_PARTS[state];
    if (part === undefined) return;
    const bytes = (partBytes.get(part.name) ?? 0) + addedBytes;
    if (isLineComplete) partBytes.set(part.name, bytes);
    if (bytes > part.maximumBytes) {
      reject(`the ${part.name} is longer than ${part.maximumBytes} bytes`);
    }
  }

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
      const [, name = '', paddedValue = ''] = match;
      const value = trimBlanks(paddedValue);
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
    chunkEnd(text) {
      if (text !== '') return 'broken';
      const held = statusLines.getHeld();
      if (held.length > 0) handlers.onBody(held);
      if (held.length > 0 || statusLines.isFound()) {
        statusLines = createStatusLineFinder();
      }
      return 'chunkSize';
    },
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
    if (line.length > MAXIMUM_LINE_BYTES) {
      reject(`a line is longer than ${MAXIMUM_LINE_BYTES} bytes`);
    }
    if (state !== 'chunkSize' || !PLAIN_CHUNK_SIZE.test(line)) {
      if (feed < 0) checkPart(line.length, false);
      else checkPart(line.length + 1, true);
    }
    if (feed < 0 || state === 'broken') return bytes.length;
    if (!line.endsWith('\r')) {
      state = 'broken';
      return bytes.length;
    }
    const text = line.slice(0, -1);
    line = '';
    lines += 1;
    const isHead = state === 'status' || state === 'headers';
    if (isHead && lines > MAXIMUM_HEAD_LINES) {
      reject(`the head has more than ${MAXIMUM_HEAD_LINES} lines`);
    } else if (isHead && JOINED_STATUS_LINE.test(text)) {
      reject('another response within a head');
    } else state = lineHandlers[state]!(text);
    return feed + 1;
  }

  /**
   * Whether another response begins within the last part of a body with a
   * length, or within the parts before it. `bytes` goes on behind that part.
   */
  function isFilledUp(bytes: Buffer, partBytes: number): boolean {
    if (statusLines.isFound()) return true;
    const heldBytes = statusLines.getRemainder().length;
    const precedingBytes = statusLines.append(bytes).length;
    return statusLines.isFound() && precedingBytes < heldBytes + partBytes;
  }

  function consumeLength(bytes: Buffer, start: number): number {
    const stop = start + Math.min(remaining, bytes.length - start);
    const part = bytes.subarray(start, stop);
    remaining -= part.length;
    handlers.onBody(part);
    if (remaining > 0) {
      if (!statusLines.isFound()) statusLines.append(part);
    } else if (
      stop < bytes.length &&
      isFilledUp(bytes.subarray(start), part.length)
    ) {
      reject('another response within a body with a length');
    } else end();
    return stop;
  }

  /**
   * Passes on what belongs to a chunk: all of it if its end is in order, else
   * what comes before a status line, until the end has arrived.
   */
  function consumeChunk(bytes: Buffer, start: number): number {
    const stop = start + Math.min(remaining, bytes.length - start);
    const part = bytes.subarray(start, stop);
    remaining -= part.length;
    const isEnded =
      remaining === 0 &&
      bytes[stop] === CARRIAGE_RETURN &&
      bytes[stop + 1] === LINE_FEED;
    const isHeld = statusLines.getHeld().length > 0;
    const passed = isEnded && !isHeld ? part : statusLines.append(part);
    if (passed.length > 0) handlers.onBody(passed);
    if (remaining === 0) state = 'chunkEnd';
    return stop;
  }

  /** Reads a body that ends with its connection; false after a status line. */
  function readUntilClose(bytes: Buffer): boolean {
    const body = statusLines.append(bytes);
    if (body.length > 0) handlers.onBody(body);
    if (!statusLines.isFound()) return true;
    reject('another response within a body without a length');
    return false;
  }

  /** Each returns the position after what it parsed; lines by default. */
  const consumers: Partial<Record<ParserState, typeof consumeLine>> = {
    length: consumeLength,
    chunk: consumeChunk,
  };

  return {
    read(bytes) {
      let position = 0;
      while (position < bytes.length) {
        if (state === 'broken' || state === 'done') return false;
        if (state === 'untilClose') {
          return readUntilClose(bytes.subarray(position));
        }
        position = (consumers[state] ?? consumeLine)(bytes, position);
      }
      return (state as ParserState) !== 'broken';
    },
    finish() {
      if (state === 'untilClose') {
        const rest = statusLines.getRemainder();
        if (rest.length > 0) handlers.onBody(rest);
        end();
      }
      return state === 'done';
    },
    isCloseDelimited: () =>
      state === 'untilClose' || state === 'status' || state === 'headers',
    isComplete: () => state === 'done',
    getError: () => error,
  };
}
