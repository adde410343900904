import type {Caller} from './caller.ts';
import {createAnswer} from './createAnswer.ts';
import {problemFor} from './problemFor.ts';

interface StreamCaller extends Caller {
  /** Resolves once it is known whether a stream or a problem is sent. */
  readonly response: Promise<Response>;
}

/** Unsent bytes after which a caller is taken to read no more. */
const MAXIMUM_BUFFERED_BYTES = 4 * 1024 * 1024;

/**
 * Answers a request as server-sent events: `tokens`, then `answer` or
 * `problem`. A failure before the first token is a plain problem document.
 *
 * @param onGone called when the caller cancels or reads too slowly
 * @example
 *     createStreamCaller('r-1', onGone).deliverTokens(0, ['reel']);
 */
export function createStreamCaller(
  requestId: string,
  onGone: () => void,
): StreamCaller {
  const encoder = new TextEncoder();
  const {promise, resolve} = Promise.withResolvers<Response>();
  let controller: ReadableStreamDefaultController<Uint8Array> | null = null;

  function open(): ReadableStreamDefaultController<Uint8Array> {
    if (controller !== null) return controller;
    const strategy = new ByteLengthQueuingStrategy({
      highWaterMark: MAXIMUM_BUFFERED_BYTES,
    });
    const stream = new ReadableStream<Uint8Array>(
      {
        start(started) {
          controller = started;
        },
        cancel: onGone,
      },
      strategy,
    );
    const headers = {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      'request-id': requestId,
    };
    resolve(new Response(stream, {headers}));
    return controller!;
  }

  function send(event: string, data: unknown): void {
    const opened = open();
    // The buffer is one caller's own; its overflow must hold up no other.
    if ((opened.desiredSize ?? 0) <= 0) {
      onGone();
      return;
    }
    const text = `event: ${event}\ndata: ${JSON.stringify(data)}\n\n`;
    opened.enqueue(encoder.encode(text));
  }

  function close(): void {
    try {
      controller?.close();
    } catch {
      // The caller has cancelled the stream already.
    }
  }

  return {
    response: promise,
    deliverTokens: (position, tokens) => send('tokens', {position, tokens}),
    answer(outputs) {
      send('answer', createAnswer(requestId, outputs));
      close();
    },
    fail(error) {
      const {status, headers, body} = problemFor(error, requestId);
      if (controller === null) {
        resolve(new Response(JSON.stringify(body), {status, headers}));
        return;
      }
      send('problem', body);
      close();
    },
  };
}
