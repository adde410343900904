interface PulledStreamOptions {
  /** The text to send next, or null where there is none for now. */
  readonly takeNext: () => string | null;
  /** The last text of the stream, or null while it is not known. */
  readonly getEnding: () => string | null;
  readonly onCancelled: () => void;
}

interface PulledStream {
  readonly readable: ReadableStream<Uint8Array>;
  /** Signals that there is a text to send or that the ending is known. */
  wake(): void;
}

/** Bytes that are formatted before the reader asks for them. */
const BUFFERED_BYTES = 16 * 1024;

/**
 * Creates a stream with backpressure, which asks for its next text only once
 * the reader has buffer space for it.
 *
 * @example
 *     const {readable, wake} = createPullStream(options);
 */
export function createPullStream(options: PulledStreamOptions): PulledStream {
  const {takeNext, getEnding, onCancelled} = options;
  const encoder = new TextEncoder();
  let isCancelled = false;
  let onWake: (() => void) | null = null;

  /** Enqueues one chunk; returns false where there is none yet. */
  function enqueueNext(
    controller: ReadableStreamDefaultController<Uint8Array>,
  ): boolean {
    const text = takeNext();
    if (text !== null) {
      controller.enqueue(encoder.encode(text));
      return true;
    }
    const ending = getEnding();
    if (ending === null) return false;
    controller.enqueue(encoder.encode(ending));
    controller.close();
    return true;
  }

  const readable = new ReadableStream<Uint8Array>(
    {
      async pull(controller) {
        while (!isCancelled && !enqueueNext(controller)) {
          await new Promise<void>((resolve) => {
            onWake = resolve;
          });
        }
      },
      cancel() {
        isCancelled = true;
        onWake?.();
        onCancelled();
      },
    },
    new ByteLengthQueuingStrategy({highWaterMark: BUFFERED_BYTES}),
  );

  return {readable, wake: () => onWake?.()};
}
