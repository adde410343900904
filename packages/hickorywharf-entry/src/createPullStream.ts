interface PulledStreamOptions {
  /** The text to send next, or null where there is none for now. */
  readonly takeNext: () => string | null;
  /** The last text, once it is known. */
  readonly getEnding: () => string | null;
  readonly onCancelled: () => void;
}

interface PulledStream {
  readonly readable: ReadableStream<Uint8Array>;
  /** Says that there is something to take. */
  wake(): void;
}

/** Bytes that are formatted ahead of what the reader has taken. */
const BUFFERED_BYTES = 16 * 1024;

/**
 * A stream that asks for its next text only once its reader has room for it.
 *
 * @example
 *     const {readable, wake} = createPullStream(options);
 */
export function createPullStream(options: PulledStreamOptions): PulledStream {
  const {takeNext, getEnding, onCancelled} = options;
  const encoder = new TextEncoder();
  let isCancelled = false;
  let onWake: (() => void) | null = null;

  /** Gives one chunk, or false where there is nothing to give yet. */
  function give(
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
        while (!isCancelled && !give(controller)) {
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
