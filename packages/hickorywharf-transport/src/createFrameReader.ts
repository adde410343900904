import {err, ok, type Result} from 'neverthrow';
import type {Frame} from 'hickorywharf-types/frame';
import {isFrame} from './isFrame.ts';
import {createFrameCodec} from './createFrameCodec.ts';
import type {TransportError} from './transportError.ts';
import {TRANSPORT_LIMITS} from './transportLimits.ts';

const LENGTH_BYTES = 4;
const codec = createFrameCodec();

interface FrameReader {
  /** Adds received bytes; returns the frames that they complete. */
  read(bytes: Buffer): Result<Frame[], TransportError>;
}

function decodeFrame(
  body: Buffer,
  peer: string,
): Result<Frame, TransportError> {
  const malformed = (message: string) =>
    err({tag: 'malformedFrame', step: 'receive', peer, message} as const);
  try {
    const value: unknown = codec.decode(body);
    return isFrame(value) ? ok(value) : malformed('not a valid frame');
  } catch (error) {
    return malformed(`not CBOR: ${(error as Error).message}`);
  }
}

/**
 * Creates a reader that splits a byte stream into frames. After an error the
 * stream cannot be read further, and the caller closes the connection.
 *
 * @param peer name or address of the peer, for errors
 * @example
 *     createFrameReader('entry-1').read(chunk).map((frames) => frames.length);
 */
export function createFrameReader(peer: string): FrameReader {
  let pending: Buffer = Buffer.alloc(0);

  function readBody(): Result<Buffer | null, TransportError> {
    if (pending.length < LENGTH_BYTES) return ok(null);
    const length = pending.readUInt32BE(0);
    if (length > TRANSPORT_LIMITS.maximumFrameBytes) {
      const message = `a frame of ${length} bytes exceeds the limit of ${TRANSPORT_LIMITS.maximumFrameBytes} bytes`;
      return err({tag: 'frameTooLarge', step: 'receive', peer, message});
    }
    const end = LENGTH_BYTES + length;
    if (pending.length < end) return ok(null);
    const body = pending.subarray(LENGTH_BYTES, end);
    pending = pending.subarray(end);
    return ok(body);
  }

  return {
    read(bytes) {
      pending = pending.length === 0 ? bytes : Buffer.concat([pending, bytes]);
      const frames: Frame[] = [];
      for (;;) {
        const body = readBody();
        if (body.isErr()) return err(body.error);
        if (body.value === null) return ok(frames);
        const frame = decodeFrame(body.value, peer);
        if (frame.isErr()) return err(frame.error);
        frames.push(frame.value);
      }
    },
  };
}
