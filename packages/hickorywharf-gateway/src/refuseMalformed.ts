import http from 'node:http';
import type {Duplex} from 'node:stream';

const BAD_REQUEST = 400;
const REQUEST_TIMEOUT = 408;
/** By Node's code of the error; others are bad requests. */
const statuses: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: REQUEST_TIMEOUT,
};

/**
 * Answers what is no whole request, and ends the connection.
 *
 * @param code Node's code of the error
 * @example
 *     refuseMalformed(socket, 'HPE_HEADER_OVERFLOW'); // 431
 */
export function refuseMalformed(socket: Duplex, code: string): void {
  const status = statuses[code] ?? BAD_REQUEST;
  const reason = http.STATUS_CODES[status];
  socket.end(
    `HTTP/1.1 ${status} ${reason}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    // A caller that sends nothing more may never close its side.
    () => status === REQUEST_TIMEOUT && socket.destroy(),
  );
}
