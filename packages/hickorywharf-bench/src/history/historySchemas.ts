import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import * as z from 'zod';

const text = z.string();
const count = z.int().min(0);
const milliseconds = z.number();
const outcome = z.enum(['answered', 'notRun', 'unknown']);

/** The fields that every event has. */
const stamp = {
  process: text.min(1),
  incarnation: text.min(1),
  monotonicMilliseconds: milliseconds,
  wallMilliseconds: milliseconds,
};
const fault = {fault: text, target: text.nullable()};
const attempt = {requestId: text, attemptId: text, endpoint: text};

function createSchema<Shape extends z.ZodRawShape>(tag: string, shape: Shape) {
  return z.strictObject({...stamp, tag: z.literal(tag), ...shape});
}

/** The schema of each kind of event, by its tag. */
export const historySchemas: Readonly<
  Record<HistoryEvent['tag'], z.ZodObject>
> = {
  requestSent: createSchema('requestSent', {
    callId: text,
    pipeline: text,
    idempotencyKey: text.nullable(),
    deadlineMilliseconds: milliseconds,
    isStream: z.boolean(),
    hasAction: z.boolean(),
    expectedDigest: text,
    expectedTokens: z.array(text),
  }),
  tokenReceived: createSchema('tokenReceived', {
    callId: text,
    position: count,
    token: text,
  }),
  outcomeReceived: createSchema('outcomeReceived', {
    callId: text,
    requestId: text.nullable(),
    outcome: z.enum(['answered', 'notRun', 'unknown', 'connectionLost']),
    answerDigest: text.nullable(),
    detail: text,
  }),
  requestAccepted: createSchema('requestAccepted', {
    requestId: text,
    callId: text.nullable(),
    idempotencyKey: text.nullable(),
  }),
  requestFinished: createSchema('requestFinished', {requestId: text, outcome}),
  attemptAccepted: createSchema('attemptAccepted', attempt),
  attemptBegan: createSchema('attemptBegan', attempt),
  attemptEnded: createSchema('attemptEnded', attempt),
  endpointLeaving: createSchema('endpointLeaving', {
    endpoint: text,
    signal: z.enum(['record', 'stop', 'list']),
  }),
  endpointReturned: createSchema('endpointReturned', {endpoint: text}),
  actionRan: createSchema('actionRan', {
    idempotencyKey: text,
    requestId: text,
    backend: text,
  }),
  orderApplied: createSchema('orderApplied', {
    engine: text,
    holder: text,
    fencingNumber: count,
  }),
  configurationAccepted: createSchema('configurationAccepted', {
    sequence: count,
    operation: text,
  }),
  configurationInForce: createSchema('configurationInForce', {sequence: count}),
  processStarted: createSchema('processStarted', {
    name: text,
    role: z.enum(['entry', 'endpoint']),
  }),
  processStopped: createSchema('processStopped', {
    name: text,
    planned: z.boolean(),
  }),
  processCrashed: createSchema('processCrashed', {
    name: text,
    exitCode: z.int().nullable(),
  }),
  timePassed: createSchema('timePassed', {}),
  processPaused: createSchema('processPaused', {name: text}),
  processResumed: createSchema('processResumed', {name: text}),
  faultBegan: createSchema('faultBegan', fault),
  faultEnded: createSchema('faultEnded', fault),
};
