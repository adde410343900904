import type {Frame} from 'hickorywharf-types/frame';
import {frameChecks} from './frameChecks.ts';

type Check = (value: unknown) => boolean;

const {isCount, isFlag, isListOf, isName, isNullOr, isNumber, isText} =
  frameChecks;
const isNullOrName = isNullOr(isName);

const isHomeList = isListOf(frameChecks.isHomeInterval);

const ATTEMPT_KEY = {
  requestId: isName,
  stageIndex: isCount,
  attemptId: isName,
} as const;

/** The fields that the handlers of a frame rely on. */
const REQUIRED_FIELDS: Record<Frame['tag'], Readonly<Record<string, Check>>> = {
  hello: {
    protocolMinimum: isCount,
    protocolMaximum: isCount,
    identity: frameChecks.isIdentity,
  },
  helloRefused: {protocolMinimum: isCount, protocolMaximum: isCount},
  attempt: {
    ...ATTEMPT_KEY,
    kind: frameChecks.isStageKind,
    pool: isName,
    idempotent: isFlag,
    half: isNullOrName,
    account: isName,
    accountWeight: isNumber,
    remainingMilliseconds: isNumber,
    laterMilliseconds: isNumber,
    input: frameChecks.isStageInput,
    idempotencyKey: isNullOrName,
    bodyDigest: isNullOrName,
    traceparent: isNullOrName,
  },
  tokens: {
    ...ATTEMPT_KEY,
    position: isCount,
    tokens: frameChecks.isTextList,
  },
  result: {
    ...ATTEMPT_KEY,
    output: frameChecks.isStageOutput,
    queuedMilliseconds: isNumber,
    backendMilliseconds: isNumber,
  },
  refused: {
    ...ATTEMPT_KEY,
    reason: isName,
    message: isText,
    homes: frameChecks.isOptional(isHomeList),
  },
  failed: {
    ...ATTEMPT_KEY,
    outcome: frameChecks.isOutcome,
    conflict: isFlag,
    message: isText,
  },
  cancel: ATTEMPT_KEY,
  tombstone: ATTEMPT_KEY,
  tombstoned: {...ATTEMPT_KEY, state: frameChecks.isOneOf('neverRan', 'begun')},
  recover: {...ATTEMPT_KEY, fromPosition: isCount},
  attemptUnknown: ATTEMPT_KEY,
  heartbeat: {
    leaving: isFlag,
    load: frameChecks.isLoad,
    configurationSequence: isCount,
  },
  homes: {homes: isHomeList},
  configurationAt: {sequence: isCount},
  fetchConfiguration: {afterSequence: isCount},
  configuration: {entries: isListOf(frameChecks.isConfigurationEntry)},
  configurationSnapshot: {
    sequence: isCount,
    documents: isListOf(frameChecks.isStoredDocument),
    halfMoves: frameChecks.isOptional(isListOf(frameChecks.isHalfMove)),
    deletions: frameChecks.isOptional(
      isListOf(
        frameChecks.hasFields({kind: isName, name: isName, sequence: isCount}),
      ),
    ),
  },
  instances: {instances: isListOf(frameChecks.hasFields({name: isName}))},
  stageOrder: {orderId: isCount, order: frameChecks.isStageOrder},
  stageCancel: {orderId: isCount},
  stageResults: {
    orderId: isCount,
    results: isListOf(frameChecks.isStageResult),
  },
  stageFree: {handles: frameChecks.isTextList},
  stageWaits: {services: isListOf(frameChecks.isStageWaits)},
  askBeliefs: {askId: isCount, version: isNumber, endpointsDigest: isName},
  beliefs: {
    askId: isCount,
    version: isNumber,
    configuration: isNullOr(frameChecks.isPackedConfiguration),
    configurationAge: isNullOr(isNumber),
    endpoints: isNullOr(isListOf(frameChecks.isGatewayEndpoint)),
    endpointsAge: isNullOr(isNumber),
  },
};

/**
 * Whether a decoded value has the shape of a frame, as far as the handlers
 * rely on it.
 *
 * @example
 *     isFrame({tag: 'nonsense'}); // false
 */
export function isFrame(value: unknown): value is Frame {
  if (typeof value !== 'object' || value === null) return false;
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
