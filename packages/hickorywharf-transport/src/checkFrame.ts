import type {Frame} from 'hickorywharf-types/frame';

type Check = (value: unknown) => boolean;

const isText: Check = (value) =>
  typeof value === 'string' && value.length <= 1024;
const isCount: Check = (value) =>
  Number.isSafeInteger(value) && (value as number) >= 0;
const isNumber: Check = (value) => Number.isFinite(value);
const isFlag: Check = (value) => typeof value === 'boolean';
const isObject: Check = (value) => typeof value === 'object' && value !== null;
const isList: Check = (value) => Array.isArray(value);
const isTextList: Check = (value) =>
  Array.isArray(value) && value.every((item) => typeof item === 'string');

const isHomeList: Check = (value) =>
  Array.isArray(value) &&
  value.every(
    (home) =>
      isObject(home) &&
      isText(home.pool) &&
      isCount(home.part) &&
      isText(home.home) &&
      isCount(home.epoch) &&
      isNumber(home.from) &&
      isNumber(home.until),
  );

const ATTEMPT_KEY = {
  requestId: isText,
  stageIndex: isCount,
  attemptId: isText,
} as const;

/** The fields that the handlers of a frame rely on. */
const REQUIRED_FIELDS: Record<Frame['tag'], Readonly<Record<string, Check>>> = {
  hello: {
    protocolMinimum: isCount,
    protocolMaximum: isCount,
    identity: isObject,
  },
  helloRefused: {},
  attempt: {
    ...ATTEMPT_KEY,
    kind: isText,
    pool: isText,
    idempotent: isFlag,
    account: isText,
    remainingMilliseconds: isNumber,
    laterMilliseconds: isNumber,
    input: (value) =>
      isObject(value) && typeof (value as {text?: unknown}).text === 'string',
  },
  tokens: {...ATTEMPT_KEY, position: isCount, tokens: isTextList},
  result: {...ATTEMPT_KEY, output: isObject},
  refused: {
    ...ATTEMPT_KEY,
    reason: isText,
    homes: (value) => value === undefined || isHomeList(value),
  },
  failed: {...ATTEMPT_KEY, outcome: isText, conflict: isFlag},
  cancel: ATTEMPT_KEY,
  tombstone: ATTEMPT_KEY,
  tombstoned: {...ATTEMPT_KEY, state: isText},
  recover: {...ATTEMPT_KEY, fromPosition: isCount},
  attemptUnknown: ATTEMPT_KEY,
  heartbeat: {leaving: isFlag, configurationSequence: isCount},
  homes: {homes: isHomeList},
  configurationAt: {sequence: isCount},
  fetchConfiguration: {afterSequence: isCount},
  configuration: {entries: isList},
  configurationSnapshot: {
    sequence: isCount,
    documents: isList,
    halfMoves: (value) => value === undefined || isList(value),
  },
  instances: {instances: isList},
};

/**
 * Whether a decoded value has the shape of a frame, as far as the handlers
 * rely on it.
 *
 * @example
 *     checkFrame({tag: 'nonsense'}); // false
 */
export function checkFrame(value: unknown): value is Frame {
  if (!isObject(value)) return false;
  const fields = value as Record<string, unknown>;
  const tag = fields['tag'];
  if (typeof tag !== 'string' || !Object.hasOwn(REQUIRED_FIELDS, tag)) {
    return false;
  }
  const required = REQUIRED_FIELDS[tag as Frame['tag']];
  for (const name in required) {
    if (!required[name]!(fields[name])) return false;
  }
  return true;
}
