import type {ServerResponse} from 'node:http';
import type {ResponseHead} from 'hickorywharf-types/gateway/responseHead';
import {freeBuffer} from 'hickorywharf-utils/freeBuffer';
import {resetSocket} from 'hickorywharf-utils/resetSocket';
import type {GatewayState} from './gatewayState.ts';
import type {Refusal} from './refusal.ts';
import {refusalStatuses} from './refusalStatuses.ts';

interface ResponseWriter {
  /** Whether the headers were written; `refuse` then only disconnects. */
  readonly isStarted: boolean;
  /**
   * Sends a complete response of an endpoint. The body must not be used
   * afterwards, as the events of `sendEvents`.
   */
  sendResponse(head: ResponseHead, body: Buffer): void;
  /** Starts a stream with the headers of the first endpoint that ran it. */
  startStream(head: ResponseHead): void;
  /** Sends complete events; false if the caller reads slowly. */
  sendEvents(events: Buffer): boolean;
  endStream(): void;
  /**
   * Closes or resets the connection, so that the response does not look
   * complete.
   */
  abort(): void;
  /** Sends a problem document; closes the connection of a started response. */
  refuse(refusal: Refusal, requestId: string | null): void;
  /** Calls back once, when the caller can take more events. */
  onDrain(callback: () => void): void;
}

/** Smaller parts are left to the garbage collector, which costs less. */
const MINIMUM_FREED_BYTES = 4096;
/** Lower bound of `Retry-After`. */
const MINIMUM_RETRY_MILLISECONDS = 50;

/**
 * Writes the response to one caller: the response of an endpoint unchanged, or
 * a refusal by the gateway that says whether the request may have run.
 *
 * @example
 *     const writer = createResponseWriter(response, state);
 *     writer.refuse({tag: 'notReady', message: 'no configuration'}, null);
 */
export function createResponseWriter(
  response: ServerResponse,
  state: Pick<GatewayState, 'isStopping'>,
): ResponseWriter {
  let isStarted = false;

  function writeHead(status: number, headers: readonly string[]): void {
    const closing = state.isStopping ? ['Connection', 'close'] : [];
    response.writeHead(status, [...headers, ...closing] as never);
    // Nothing is written if Node rejects a header.
    isStarted = true;
  }

  /** Frees bytes once they are written; those that are not may be in use. */
  function freeWhenWritten(bytes: Buffer) {
    return (error?: Error | null): void => {
      const isWritten = error === undefined || error === null;
      if (isWritten && bytes.length >= MINIMUM_FREED_BYTES) freeBuffer(bytes);
    };
  }

  function abort(): void {
    // HTTP/1.0 has no chunks: the end of the connection would end the response.
    const {req, socket} = response;
    if (req.httpVersion === '1.0' && socket !== null) resetSocket(socket);
    response.destroy();
  }

  return {
    get isStarted() {
      return isStarted;
    },
    sendResponse(head, body) {
      const length = ['Content-Length', String(body.length)];
      writeHead(head.status, [...head.headers, ...length]);
      response.end(body, freeWhenWritten(body));
    },
    startStream: (head) => writeHead(head.status, head.headers),
    sendEvents: (events) => response.write(events, freeWhenWritten(events)),
    endStream: () => void response.end(),
    abort,
    refuse(refusal, requestId) {
      if (isStarted) return abort();
      const {tag, message, retryAfterMilliseconds} = refusal;
      const status = refusalStatuses[tag];
      const isNotRun = status !== 502 && status !== 504;
      const body = JSON.stringify({
        type: `urn:hickorywharf:${tag}`,
        title: message,
        status,
        outcome: isNotRun ? 'notRun' : 'unknown',
        requestId,
      });
      const headers = [
        'Content-Type',
        'application/problem+json',
        'Content-Length',
        String(Buffer.byteLength(body)),
      ];
      if (retryAfterMilliseconds !== undefined) {
        const wait = Math.max(
          retryAfterMilliseconds,
          MINIMUM_RETRY_MILLISECONDS,
        );
        headers.push('Retry-After', (wait / 1000).toFixed(3));
      }
      writeHead(status, headers);
      response.end(body);
    },
    onDrain: (callback) => void response.once('drain', callback),
  };
}
