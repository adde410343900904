import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {Refusal} from './refusal.ts';

/**
 * Reads the body of a request. A body above the limit is refused, and reading
 * stops.
 *
 * @returns null if the caller disconnected before the end of the body
 * @example
 *     const body = await readBody(request, 4194304);
 */
export function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Result<Buffer, Refusal> | null> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > limitBytes) {
        request.pause();
        resolve(
          err({
            tag: 'bodyTooLarge',
            message: `a body has at most ${limitBytes} bytes`,
          }),
        );
        return;
      }
      chunks.push(chunk);
    });
    request.on('end', () => resolve(ok(Buffer.concat(chunks))));
    request.on('close', () => resolve(null));
    request.on('error', () => resolve(null));
  });
}
