import type {Frame} from 'hickorywharf-types/frame';
import {createFrameCodec} from './createFrameCodec.ts';

const LENGTH_BYTES = 4;
const codec = createFrameCodec();

/**
 * Encodes a frame: its length (32 bits, big-endian), then CBOR.
 *
 * @example
 *     socket.write(encodeFrame({tag: 'fetchConfiguration', afterSequence: 3}));
 */
export function encodeFrame(frame: Frame): Buffer {
  const body = codec.encode(frame);
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  bytes.writeUInt32BE(body.length, 0);
  bytes.set(body, LENGTH_BYTES);
  return bytes;
}
