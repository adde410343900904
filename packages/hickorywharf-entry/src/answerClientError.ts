import type {Duplex} from 'node:stream';
import type {ServeError} from 'hickorywharf-types/serveError';
import {toProblem} from './toProblem.ts';

const HEADERS_OVERFLOW_CODE = 'HPE_HEADER_OVERFLOW';
const HEADERS_TOO_LARGE_STATUS = 431;
const BAD_REQUEST_STATUS = 400;

function createProblem(code: string): {status: number; body: unknown} {
  const isOverflow = code === HEADERS_OVERFLOW_CODE;
  const status = isOverflow ? HEADERS_TOO_LARGE_STATUS : BAD_REQUEST_STATUS;
  const error: ServeError = {
    tag: 'invalidRequest',
    field: isOverflow ? 'headers' : 'HTTP',
    step: 'receive',
    peer: null,
    outcome: 'notRun',
    message: isOverflow
      ? 'The headers are over the limit.'
      : 'The bytes received are not an HTTP request.',
  };
  return {status, body: {...toProblem(error, '').body, status}};
}

/**
 * Answers bytes that are not an HTTP request with a problem document and closes
 * the connection.
 *
 * @example
 *     server.on('clientError', answerClientError);
 */
export function answerClientError(error: Error, socket: Duplex): void {
  const {code = ''} = error as Error & {code?: string};
  if (code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const {status, body} = createProblem(code);
  const text = JSON.stringify(body);
  socket.end(
    [
      `HTTP/1.1 ${status} Bad Request`,
      'Content-Type: application/problem+json',
      `Content-Length: ${Buffer.byteLength(text)}`,
      'Connection: close',
      '',
      text,
    ].join('\r\n'),
  );
}
