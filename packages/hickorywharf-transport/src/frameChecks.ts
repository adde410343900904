type Check = (value: unknown) => boolean;

const MAXIMUM_NAME_LENGTH = 1024;
const ROLES: ReadonlySet<unknown> = new Set(['entry', 'endpoint', 'operator']);

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

const isText: Check = (value) => typeof value === 'string';
const isName: Check = (value) =>
  typeof value === 'string' && value.length <= MAXIMUM_NAME_LENGTH;
const isNumber: Check = (value) => Number.isFinite(value);
const isCount: Check = (value) =>
  Number.isSafeInteger(value) && (value as number) >= 0;
const isFlag: Check = (value) => typeof value === 'boolean';

function isOneOf(...allowed: readonly unknown[]): Check {
  return (value) => allowed.includes(value);
}

function isListOf(check: Check): Check {
  return (value) => Array.isArray(value) && value.every(check);
}

function isOptional(check: Check): Check {
  return (value) => value === undefined || check(value);
}

function isNullOr(check: Check): Check {
  return (value) => value === null || check(value);
}

/** An object whose fields pass their checks; others are not looked at. */
function hasFields(fields: Readonly<Record<string, Check>>): Check {
  const checks = Object.entries(fields);
  return (value) =>
    isObject(value) && checks.every(([name, check]) => check(value[name]));
}

const isTextList = isListOf(isText);
const isNumberList = isListOf(isNumber);
const isDocuments = hasFields({documents: isTextList});

const OUTPUT_CHECKS: Readonly<Record<string, Check>> = {
  encode: hasFields({vector: isNumberList}),
  retrieve: isDocuments,
  rerank: isDocuments,
  generate: hasFields({
    tokens: isTextList,
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

/** Checks of the values in frames, as far as the handlers rely on them. */
export const frameChecks = {
  isText,
  isName,
  isNumber,
  isCount,
  isFlag,
  isTextList,
  isOneOf,
  isListOf,
  isOptional,
  isNullOr,
  hasFields,
  isStageKind: isOneOf('encode', 'retrieve', 'rerank', 'generate', 'call'),
  isOutcome: isOneOf('answered', 'notRun', 'unknown'),
  isStageOutput,
  isStageInput: hasFields({
    text: isText,
    vector: isOptional(isNumberList),
    documents: isOptional(isTextList),
    action: isOptional(hasFields({name: isName, parameters: isObject})),
    continuation: isOptional(isTextList),
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
    changes: isListOf(
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
    pieces: isListOf(isCount),
    key: isNullOr(isName),
    inputs: isNullOr(isTextList),
    priority: isNumber,
    targetMilliseconds: isNumber,
    deadlineMilliseconds: isNumber,
    resultBytes: isNumber,
    failureDomain: isNullOr(isName),
  }),
  isStageWaits: hasFields({
    service: isName,
    timelyMilliseconds: isNumberList,
    totalMilliseconds: isNumber,
  }),
  isStageResult: hasFields({
    tag: isOneOf('made', 'inputGone', 'expired', 'failed'),
    piece: isCount,
    handle: isOptional(isName),
    endpointId: isOptional(isName),
  }),
  isPackedConfiguration: hasFields({
    version: isNumber,
    routes: isListOf(
      hasFields({
        name: isName,
        host: isName,
        prefix: isName,
        kind: isOneOf('stream', 'action', 'read'),
        timeoutMilliseconds: isNumber,
        targetMilliseconds: isNumber,
        priority: isNumber,
        maximumEndpoints: isNumber,
        services: isListOf(hasFields({service: isName, weight: isNumber})),
        stages: isListOf(
          hasFields({service: isName, after: isListOf(isCount)}),
        ),
      }),
    ),
    services: isListOf(hasFields({name: isName})),
    accounts: isNullOr(
      isListOf(
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
    isDraining: isFlag,
    startedAt: isNumber,
    slots: isCount,
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
