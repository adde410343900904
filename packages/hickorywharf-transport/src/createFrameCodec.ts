import {Encoder, type Options} from 'cbor-x';

/**
 * Numeric keys of the most frequent fields. Reusing a number for another field
 * requires a new protocol version.
 */
const FRAME_KEYS = {
  tag: 1,
  requestId: 2,
  stageIndex: 3,
  attemptId: 4,
  position: 5,
  tokens: 6,
  leaving: 7,
  load: 8,
  queued: 9,
  running: 10,
  capacity: 11,
  configurationSequence: 12,
  output: 13,
  kind: 14,
  queuedMilliseconds: 15,
  backendMilliseconds: 16,
  pool: 17,
  idempotent: 18,
  account: 19,
  accountWeight: 20,
  remainingMilliseconds: 21,
  laterMilliseconds: 22,
  input: 23,
} as const;

/**
 * Creates the CBOR codec of frames. It encodes frequent field names as numbers
 * and the others as strings, and thus keeps no state between frames.
 *
 * @example
 *     const codec = createFrameCodec();
 *     codec.decode(codec.encode({tag: 'heartbeat'}));
 */
export function createFrameCodec(): Encoder {
  const options = {useRecords: false, keyMap: FRAME_KEYS} as Options;
  return new Encoder(options);
}
