import type {Duplex} from 'node:stream';
import type {ServeError} from 'hickorywharf-types/serveError';
import {toProblem} from './toProblem.ts';

interface ErrorKind {
  readonly status: number;
  readonly reason: string;
  readonly field: string;
  readonly message: string;
}

const MALFORMED: ErrorKind = {
  status: 400,
  reason: 'Bad Request',
  field: 'HTTP',
  message: 'The bytes received are not an HTTP request.',
};
/** By Node's code; others are malformed. */
const ERROR_KINDS: Readonly<Record<string, ErrorKind>> = {
  HPE_HEADER_OVERFLOW: {
    status: 431,
    reason: 'Request Header Fields Too Large',
    field: 'headers',
    message: 'The headers are over the limit.',
  },
  ERR_HTTP_REQUEST_TIMEOUT: {
    status: 408,
    reason: 'Request Timeout',
    field: 'headers',
    message: 'The request did not arrive in time.',
  },
};

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
  const {status, reason, field, message} = ERROR_KINDS[code] ?? MALFORMED;
  const problem: ServeError = {
    tag: 'invalidRequest',
    field,
    step: 'receive',
    peer: null,
    outcome: 'notRun',
    message,
  };
  const text = JSON.stringify({...toProblem(problem, '').body, status});
  socket.end(
    [
      `HTTP/1.1 ${status} ${reason}`,
      'Content-Type: application/problem+json',
      `Content-Length: ${Buffer.byteLength(text)}`,
      'Connection: close',
      '',
      text,
    ].join('\r\n'),
  );
}
