import type {ServerResponse} from 'node:http';
import type {ResponseHead} from 'hickorywharf-types/gateway/responseHead';
import type {GatewayState} from './gatewayState.ts';
import type {Refusal} from './refusal.ts';
import {refusalStatuses} from './refusalStatuses.ts';

interface AnswerRelay {
  readonly isStarted: boolean;
  /** Gives a whole answer of an endpoint. */
  sendResponse(head: ResponseHead, body: Buffer): void;
  /** Starts a stream with the head of the endpoint that ran it first. */
  startStream(head: ResponseHead): void;
  /** Gives complete events; false if the caller reads slowly. */
  sendEvents(events: Buffer): boolean;
  endStream(): void;
  /** Closes the connection, so that the answer does not look complete. */
  abort(): void;
  refuse(refusal: Refusal, requestId: string | null): void;
  onDrain(callback: () => void): void;
}

/** At least this long before a refused caller is asked to come back. */
const MINIMUM_RETRY_MILLISECONDS = 50;

/**
 * What goes back to one caller: the answer of an endpoint unchanged, or a
 * refusal of our own that says whether the request was run.
 *
 * @example
 *     const relay = createResponseWriter(response, state);
 *     relay.refuse({tag: 'notReady', message: 'no configuration'}, null);
 */
export function createResponseWriter(
  response: ServerResponse,
  state: Pick<GatewayState, 'isStopping'>,
): AnswerRelay {
  let isStarted = false;

  function writeHead(status: number, headers: readonly string[]): void {
    isStarted = true;
    const closing = state.isStopping ? ['Connection', 'close'] : [];
    response.writeHead(status, [...headers, ...closing] as never);
  }

  return {
    get isStarted() {
      return isStarted;
    },
    sendResponse(head, body) {
      const length = ['Content-Length', String(body.length)];
      writeHead(head.status, [...head.headers, ...length]);
      response.end(body);
    },
    startStream: (head) => writeHead(head.status, head.headers),
    sendEvents: (events) => response.write(events),
    endStream: () => void response.end(),
    abort: () => void response.destroy(),
    refuse(refusal, requestId) {
      if (isStarted) return void response.destroy();
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
