import {TRANSPORT_LIMITS} from './transportLimits.ts';

type Check = (value: unknown) => boolean;

const ROLES: ReadonlySet<unknown> = new Set(['entry', 'endpoint', 'operator']);

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

const isString: Check = (value) => typeof value === 'string';
const isName: Check = (value) =>
  typeof value === 'string' &&
  value.length <= TRANSPORT_LIMITS.maximumNameLength;
const isNumber: Check = (value) => Number.isFinite(value);
const isCount: Check = (value) =>
  Number.isSafeInteger(value) && (value as number) >= 0;
const isBoolean: Check = (value) => typeof value === 'boolean';

const isNotNegative: Check = (value) =>
  Number.isFinite(value) && (value as number) >= 0;

const isBytes: Check = (value) => value instanceof Uint8Array;

function isOneOf(...allowed: readonly unknown[]): Check {
  return (value) => allowed.includes(value);
}

function isArrayOf(check: Check): Check {
  return (value) => Array.isArray(value) && value.every(check);
}

function isOptional(check: Check): Check {
  return (value) => value === undefined || check(value);
}

function isNullOr(check: Check): Check {
  return (value) => value === null || check(value);
}

/** Checks the listed fields of an object; others are ignored. */
function hasFields(fields: Readonly<Record<string, Check>>): Check {
  const checks = Object.entries(fields);
  return (value) =>
    isObject(value) && checks.every(([name, check]) => check(value[name]));
}

const isStringArray = isArrayOf(isString);
const isNumberArray = isArrayOf(isNumber);
const isDocuments = hasFields({documents: isStringArray});

const isStreamOrigin = hasFields({
  streamId: isName,
  service: isName,
  version: isName,
});

const isPromptPart = hasFields({part: isName, ageMilliseconds: isNotNegative});

const PROMPT_RECORD_CHECKS: Readonly<Record<string, Check>> = {
  end: hasFields({
    process: isName,
    ageMilliseconds: isNotNegative,
    suspects: isArrayOf(
      hasFields({part: isName, sentAgeMilliseconds: isNotNegative}),
    ),
  }),
  progress: (value) =>
    isPromptPart(value) && hasFields({isRelayed: isBoolean})(value),
  verdict: (value) =>
    isPromptPart(value) &&
    hasFields({id: isName, others: isArrayOf(isName)})(value),
  trial: (value) =>
    isPromptPart(value) &&
    hasFields({index: isCount, hasSplit: isBoolean})(value),
  asked: isPromptPart,
};

function isQuarantineRecord(value: unknown): boolean {
  if (!isObject(value) || typeof value['tag'] !== 'string') return false;
  const {tag} = value;
  return (
    Object.hasOwn(PROMPT_RECORD_CHECKS, tag) &&
    PROMPT_RECORD_CHECKS[tag]!(value)
  );
}

const OUTPUT_CHECKS: Readonly<Record<string, Check>> = {
  encode: hasFields({vector: isNumberArray}),
  retrieve: isDocuments,
  rerank: isDocuments,
  generate: hasFields({
    tokens: isStringArray,
    tokenCount: isCount,
    cachedTokens: isNumber,
  }),
  call: hasFields({response: isObject}),
};

function isStageOutput(value: unknown): boolean {
  if (!isObject(value) || typeof value['kind'] !== 'string') return false;
  const {kind} = value;
  return Object.hasOwn(OUTPUT_CHECKS, kind) && OUTPUT_CHECKS[kind]!(value);
}

/** Checks of the values in frames, limited to what the handlers use. */
export const frameChecks = {
  isString,
  isName,
  isNumber,
  isCount,
  isBoolean,
  isBytes,
  isStringArray,
  isOneOf,
  isArrayOf,
  isOptional,
  isNullOr,
  hasFields,
  isStageKind: isOneOf('encode', 'retrieve', 'rerank', 'generate', 'call'),
  isOutcome: isOneOf('answered', 'notRun', 'unknown'),
  isStageOutput,
  isStageInput: hasFields({
    text: isString,
    vector: isOptional(isNumberArray),
    documents: isOptional(isStringArray),
    action: isOptional(hasFields({name: isName, parameters: isObject})),
    continuation: isOptional(isStringArray),
    maximumTokens: isOptional(isCount),
  }),
  isIdentity: hasFields({
    name: isName,
    incarnation: isName,
    failureDomain: isName,
    role: (value) => ROLES.has(value),
  }),
  isLoad: isNullOr(
    hasFields({queued: isCount, running: isCount, capacity: isCount}),
  ),
  isConfigurationEntry: hasFields({
    sequence: isCount,
    operation: isName,
    changes: isArrayOf(
      hasFields({kind: isName, name: isName, document: isNullOr(isObject)}),
    ),
  }),
  isStoredDocument: hasFields({
    kind: isName,
    name: isName,
    sequence: isCount,
    document: isObject,
  }),
  isHalfMove: hasFields({
    record: isName,
    sequence: isCount,
    issuedFrom: isNumber,
    from: isNullOr(isName),
    to: isNullOr(isName),
  }),
  isStageOrder: hasFields({
    requestId: isName,
    stage: isCount,
    service: isName,
    kind: isName,
    pieces: isArrayOf(isCount),
    key: isNullOr(isName),
    inputs: isNullOr(isStringArray),
    priority: isNumber,
    targetMilliseconds: isNumber,
    deadlineMilliseconds: isNumber,
    resultBytes: isNumber,
    failureDomain: isNullOr(isName),
  }),
  isStageWaits: hasFields({
    service: isName,
    timelyMilliseconds: isNumberArray,
    totalMilliseconds: isNumber,
  }),
  isEndpointLimitReport: hasFields({
    endpointId: isName,
    startedAt: isNumber,
    callsPerSecond: isNullOr(isNotNegative),
    ageMilliseconds: isNotNegative,
    source: isName,
  }),
  isEvacuationReport: hasFields({
    failureDomains: isArrayOf(isName),
    ageMilliseconds: isNotNegative,
  }),
  isStreamExchange: hasFields({
    origins: isOptional(isArrayOf(isStreamOrigin)),
    questions: isOptional(
      isArrayOf(hasFields({askId: isCount, streamId: isName, service: isName})),
    ),
    answers: isOptional(
      isArrayOf(hasFields({askId: isCount, origin: isNullOr(isStreamOrigin)})),
    ),
  }),
  isQuarantineRecord,
  isStageResult: hasFields({
    tag: isOneOf('made', 'inputGone', 'expired', 'failed'),
    piece: isCount,
    handle: isOptional(isName),
    endpointId: isOptional(isName),
  }),
  isPackedConfiguration: hasFields({
    version: isNumber,
    routes: isArrayOf(
      hasFields({
        name: isName,
        host: isName,
        prefix: isName,
        kind: isOneOf('stream', 'action', 'read'),
        timeoutMilliseconds: isNumber,
        targetMilliseconds: isNumber,
        priority: isNumber,
        maximumEndpoints: isNumber,
        services: isArrayOf(hasFields({service: isName, weight: isNumber})),
        stages: isArrayOf(
          hasFields({service: isName, after: isArrayOf(isCount)}),
        ),
      }),
    ),
    services: isArrayOf(hasFields({name: isName})),
    accounts: isNullOr(
      isArrayOf(
        (pair) =>
          Array.isArray(pair) &&
          isName(pair[0]) &&
          hasFields({name: isName, priority: isNullOr(isNumber)})(pair[1]),
      ),
    ),
  }),
  isGatewayEndpoint: hasFields({
    id: isName,
    service: isName,
    host: isName,
    port: isCount,
    failureDomain: isName,
    isDraining: isBoolean,
    startedAt: isNumber,
    // Instances before this field was added do not send it.
    version: isOptional(isName),
    slots: isCount,
    coldMilliseconds: isOptional(isNumber),
  }),
  isHomeInterval: hasFields({
    pool: isName,
    part: isCount,
    half: isNullOr(isName),
    home: isName,
    incarnation: isName,
    epoch: isCount,
    from: isNumber,
    until: isNumber,
  }),
} as const;
