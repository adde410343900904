import {createBodyBuffer} from 'hickorywharf-utils/createBodyBuffer';
import {err, ok, type Result} from 'neverthrow';
import type {Frame} from 'hickorywharf-types/frame';
import {isFrame} from './isFrame.ts';
import {createFrameCodec} from './createFrameCodec.ts';
import type {TransportError} from './transportError.ts';
import {TRANSPORT_LIMITS} from './transportLimits.ts';

const LENGTH_BYTES = 4;
const codec = createFrameCodec();

interface FrameReader {
  /** Bytes of a frame that has not arrived whole. */
  readonly pendingBytes: number;
  /** Adds received bytes; returns the frames that they complete. */
  read(bytes: Buffer): Result<Frame[], TransportError>;
  /** Frees the memory of a frame that has not arrived whole. */
  free(): void;
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
 * @param firstFrameBytes the longest that the first frame may be
 * @example
 *     createFrameReader('entry-1').read(chunk).map((frames) => frames.length);
 */
export function createFrameReader(
  peer: string,
  firstFrameBytes: number = TRANSPORT_LIMITS.maximumFrameBytes,
): FrameReader {
  const head = Buffer.alloc(LENGTH_BYTES);
  let headBytes = 0;
  let body = createBodyBuffer(0);
  let maximumBytes = firstFrameBytes;
  /** Length of the frame whose head has arrived. */
  let length = 0;

  /** Reads as much of the head as there is; null unless it is whole. */
  function readHead(bytes: Buffer): Result<Buffer | null, TransportError> {
    const copied = bytes.copy(head, headBytes);
    headBytes += copied;
    if (headBytes < LENGTH_BYTES) return ok(null);
    length = head.readUInt32BE(0);
    if (length > maximumBytes) {
      const message = `a frame of ${length} bytes exceeds the limit of ${maximumBytes} bytes`;
      return err({tag: 'frameTooLarge', step: 'receive', peer, message});
    }
    body = createBodyBuffer(length);
    return ok(bytes.subarray(copied));
  }

  return {
    get pendingBytes() {
      return headBytes + body.length;
    },
    read(bytes) {
      const frames: Frame[] = [];
      let rest = bytes;
      for (;;) {
        if (headBytes < LENGTH_BYTES) {
          const afterHead = readHead(rest);
          if (afterHead.isErr()) return err(afterHead.error);
          if (afterHead.value === null) return ok(frames);
          rest = afterHead.value;
        }
        const missing = length - body.length;
        const part = rest.subarray(0, missing);
        rest = rest.subarray(part.length);
        if (part.length > 0) body.append(part);
        if (body.length < length) return ok(frames);
        const frame = decodeFrame(body.toBuffer(), peer);
        headBytes = 0;
        body = createBodyBuffer(0);
        maximumBytes = TRANSPORT_LIMITS.maximumFrameBytes;
        if (frame.isErr()) return err(frame.error);
        frames.push(frame.value);
      }
    },
    free() {
      body.free();
    },
  };
}
