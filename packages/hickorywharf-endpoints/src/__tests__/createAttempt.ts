import type {Frame} from 'hickorywharf-types/frame';

type Attempt = Extract<Frame, {tag: 'attempt'}>;

/** Creates an attempt whose ids are its text. */
export const createAttempt = (
  text: string,
  kind: Attempt['kind'],
): Attempt => ({
  tag: 'attempt',
  requestId: text,
  stageIndex: 0,
  attemptId: text,
  kind,
  pool: 'pool',
  idempotent: true,
  half: null,
  account: 'desk',
  accountWeight: 1,
  remainingMilliseconds: 1000,
  laterMilliseconds: 0,
  input: {text, action: {name: 'check', parameters: {}}},
  idempotencyKey: null,
  bodyDigest: null,
  traceparent: null,
});
