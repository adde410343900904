import {Encoder} from 'cbor-x';
import type {Frame} from 'hickorywharf-types/frame';

const LENGTH_BYTES = 4;
const encoder = new Encoder({useRecords: false});

/**
 * A frame as bytes: its length (32 bits, big endian), then CBOR.
 *
 * @example
 *     socket.write(encodeFrame({tag: 'fetchConfiguration', afterSequence: 3}));
 */
export function encodeFrame(frame: Frame): Buffer {
  const body = encoder.encode(frame);
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  bytes.writeUInt32BE(body.length, 0);
  bytes.set(body, LENGTH_BYTES);
  return bytes;
}
