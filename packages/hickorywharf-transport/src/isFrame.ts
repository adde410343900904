import type {Frame} from 'hickorywharf-types/frame';
import {frameChecks} from './frameChecks.ts';

type Check = (value: unknown) => boolean;

const {isCount, isBoolean, isArrayOf, isName, isNullOr, isNumber, isString} =
  frameChecks;
const isNullOrName = isNullOr(isName);

const isOptionalLimitReports = frameChecks.isOptional(
  isArrayOf(frameChecks.isEndpointLimitReport),
);
const isHomeIntervalArray = isArrayOf(frameChecks.isHomeInterval);

const ATTEMPT_KEY = {
  requestId: isName,
  stageIndex: isCount,
  attemptId: isName,
} as const;

/** Checks of the fields that the handlers of each frame use. */
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
    idempotent: isBoolean,
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
    tokens: frameChecks.isStringArray,
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
    message: isString,
    homes: frameChecks.isOptional(isHomeIntervalArray),
  },
  failed: {
    ...ATTEMPT_KEY,
    outcome: frameChecks.isOutcome,
    conflict: isBoolean,
    message: isString,
  },
  cancel: ATTEMPT_KEY,
  tombstone: ATTEMPT_KEY,
  tombstoned: {...ATTEMPT_KEY, state: frameChecks.isOneOf('neverRan', 'begun')},
  recover: {...ATTEMPT_KEY, fromPosition: isCount},
  attemptUnknown: ATTEMPT_KEY,
  heartbeat: {
    leaving: isBoolean,
    load: frameChecks.isLoad,
    configurationSequence: isCount,
    endpointLimits: isOptionalLimitReports,
    streams: frameChecks.isOptional(frameChecks.isStreamExchange),
    quarantineRecords: frameChecks.isOptional(
      isArrayOf(frameChecks.isQuarantineRecord),
    ),
  },
  homes: {homes: isHomeIntervalArray},
  configurationAt: {sequence: isCount},
  fetchConfiguration: {afterSequence: isCount},
  configuration: {entries: isArrayOf(frameChecks.isConfigurationEntry)},
  configurationSnapshot: {
    sequence: isCount,
    documents: isArrayOf(frameChecks.isStoredDocument),
    halfMoves: frameChecks.isOptional(isArrayOf(frameChecks.isHalfMove)),
    deletions: frameChecks.isOptional(
      isArrayOf(
        frameChecks.hasFields({kind: isName, name: isName, sequence: isCount}),
      ),
    ),
  },
  instances: {instances: isArrayOf(frameChecks.hasFields({name: isName}))},
  stageOrder: {orderId: isCount, order: frameChecks.isStageOrder},
  stageCancel: {orderId: isCount},
  stageResults: {
    orderId: isCount,
    results: isArrayOf(frameChecks.isStageResult),
  },
  stageFree: {handles: frameChecks.isStringArray},
  stageWaits: {
    services: isArrayOf(frameChecks.isStageWaits),
    endpointLimits: isOptionalLimitReports,
  },
  askBeliefs: {askId: isCount, version: isNumber, endpointsDigest: isName},
  beliefs: {
    askId: isCount,
    version: isNumber,
    configuration: isNullOr(frameChecks.isPackedConfiguration),
    configurationAge: isNullOr(isNumber),
    endpoints: isNullOr(isArrayOf(frameChecks.isGatewayEndpoint)),
    endpointsAge: isNullOr(isNumber),
    evacuations: frameChecks.isOptional(frameChecks.isEvacuationReport),
  },
  askConfiguration: {askId: isCount},
  packedConfiguration: {
    askId: isCount,
    content: isNullOr(frameChecks.isBytes),
    age: isNullOr(isNumber),
  },
};

/**
 * Whether a decoded value is a frame. Only the fields that handlers use are
 * checked.
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
