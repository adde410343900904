import type {Responder} from './responder.ts';
import {createAnswer} from './createAnswer.ts';
import {createPullStream} from './createPullStream.ts';
import {toProblem} from './toProblem.ts';

interface EventStreamResponder extends Responder {
  /** Resolves once it is known whether a stream or a problem is sent. */
  readonly response: Promise<Response>;
}

function formatEvent(event: string, data: unknown): string {
  return `event: ${event}\ndata: ${JSON.stringify(data)}\n\n`;
}

/**
 * Creates a responder that sends server-sent events: `tokens`, then `answer` or
 * `problem`. A failure before the first token is a plain problem document.
 * Tokens that a slow caller has not read yet are buffered and sent in one
 * event, so that a slow caller costs only the memory of its own tokens and
 * delays no other.
 *
 * @param onDisconnected called when the caller cancels the stream
 * @example
 *     const responder = createEventStreamResponder('r-1', onDisconnected);
 *     responder.deliverTokens(0, ['reel']);
 */
export function createEventStreamResponder(
  requestId: string,
  onDisconnected: () => void,
): EventStreamResponder {
  const {promise, resolve} = Promise.withResolvers<Response>();
  const waiting: string[] = [];
  let waitingPosition = 0;
  let ending: string | null = null;
  let isOpen = false;

  function takeNext(): string | null {
    if (waiting.length === 0) return null;
    const position = waitingPosition;
    const tokens = waiting.splice(0);
    waitingPosition += tokens.length;
    return formatEvent('tokens', {position, tokens});
  }

  const stream = createPullStream({
    takeNext,
    getEnding: () => ending,
    onCancelled: onDisconnected,
  });

  function open(): void {
    if (isOpen) return;
    isOpen = true;
    const headers = {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      'request-id': requestId,
    };
    resolve(new Response(stream.readable, {headers}));
  }

  function end(event: string, data: unknown): void {
    ending = formatEvent(event, data);
    stream.wake();
  }

  return {
    response: promise,
    deliverTokens(position, tokens) {
      if (waiting.length === 0) waitingPosition = position;
      waiting.push(...tokens);
      open();
      stream.wake();
    },
    answer(outputs) {
      open();
      end('answer', createAnswer(requestId, outputs));
    },
    fail(error) {
      const {status, headers, body} = toProblem(error, requestId);
      if (isOpen) end('problem', body);
      else resolve(new Response(JSON.stringify(body), {status, headers}));
    },
  };
}
