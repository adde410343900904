import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {createBodyBuffer} from 'hickorywharf-utils/createBodyBuffer';
import type {createMemoryBudget} from './createMemoryBudget.ts';
import type {Refusal} from './refusal.ts';

interface ReadOptions {
  readonly limitBytes: number;
  readonly budget: ReturnType<typeof createMemoryBudget>;
  /**
   * Called if a whole body has to be dropped later, before its slot is closed.
   */
  onDropped(refusal: Refusal): void;
}

interface ReadBody {
  readonly bytes: Buffer;
  /** Counts the body as free, when nothing needs it any more. */
  release(): void;
}

/** Retry delay for callers whose body there was no memory for. */
const MEMORY_RETRY_MILLISECONDS = 1000;

const TOO_MUCH_MEMORY: Refusal = {
  tag: 'overloaded',
  message: 'too many bytes of requests are held',
  retryAfterMilliseconds: MEMORY_RETRY_MILLISECONDS,
};

/**
 * Reads the body of a request. A body above the limit is refused, before it is
 * read if its length is announced; so is one for which there is no memory left.
 * Reading stops then.
 *
 * @returns null if the caller disconnected before the end of the body
 * @example
 *     const body = await readBody(request, {limitBytes, budget, onDropped});
 */
export function readBody(
  request: IncomingMessage,
  {limitBytes, budget, onDropped}: ReadOptions,
): Promise<Result<ReadBody, Refusal> | null> {
  return new Promise((resolve) => {
    const announcedBytes = Number(request.headers['content-length'] ?? 0);
    const body = createBodyBuffer(limitBytes);
    let isWhole = false;
    const slot = budget.open('arrivingRequest', () => {
      if (isWhole) onDropped(TOO_MUCH_MEMORY);
      else refuse(TOO_MUCH_MEMORY);
    });

    function stop(): void {
      request.off('data', read);
      slot.close();
      if (!isWhole) body.free();
    }
    function refuse(refusal: Refusal): void {
      stop();
      request.pause();
      resolve(err(refusal));
    }
    function refuseLength(): void {
      refuse({
        tag: 'bodyTooLarge',
        message: `a body has at most ${limitBytes} bytes`,
      });
    }
    function read(chunk: Buffer): void {
      const {length} = chunk;
      if (body.append(chunk)) slot.add(length);
      else refuseLength();
    }
    function abandon(): void {
      if (isWhole) return;
      stop();
      resolve(null);
    }

    if (announcedBytes > limitBytes) {
      // Marks the request as read, as Node skips the rest of others at once.
      request.read(0);
      return refuseLength();
    }
    request.on('data', read);
    request.on('end', () => {
      const bytes = body.toBuffer();
      isWhole = true;
      resolve(ok({bytes, release: slot.close}));
      slot.setKind('heldRequest');
    });
    request.on('close', abandon);
    request.on('error', abandon);
  });
}
