import {Encoder, type Options} from 'cbor-x';

/**
 * Short keys of the fields that most frames have. A number is never given to
 * another field: that is a new protocol version.
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
 * The CBOR codec of frames. Known field names travel as small numbers, others
 * as they are, so that the codec keeps no state between frames.
 *
 * @example
 *     const codec = createFrameCodec();
 *     codec.decode(codec.encode({tag: 'heartbeat'}));
 */
export function createFrameCodec(): Encoder {
  // The library's type leaves out an option that it documents.
  const options = {useRecords: false, keyMap: FRAME_KEYS} as Options;
  return new Encoder(options);
}
