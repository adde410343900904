import type {AttemptKey} from 'hickorywharf-types/attemptKey';
import type {Frame} from 'hickorywharf-types/frame';
import type {ServeError} from 'hickorywharf-types/serveError';
import {applyRefusal} from '../applyRefusal.ts';
import {cancelSupersededAttempts} from '../cancelSupersededAttempts.ts';
import {completeStage} from '../completeStage.ts';
import {ENTRY_LIMITS} from '../entryLimits.ts';
import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';
import {finishRequest} from '../finishRequest.ts';
import {getCurrentStage} from '../getCurrentStage.ts';
import {getOrCreateLatencyRow} from '../load/getOrCreateLatencyRow.ts';
import {recordResult} from '../load/recordResult.ts';
import {getFailureOutcome} from '../getFailureOutcome.ts';
import {recordHome} from '../recordHome.ts';
import {removeAttempt} from '../removeAttempt.ts';
import {requestRecovery} from '../requestRecovery.ts';
import {resumeSupersededAttempt} from '../resumeSupersededAttempt.ts';
import {scheduleRetry} from '../scheduleRetry.ts';

type FrameOf<Tag> = Extract<Frame, {tag: Tag}>;
type AttemptRow = EntryRows['attempt'];
type RequestRow = EntryRows['request'];

/** A frame's attempt, and its request where the attempt is current. */
interface AttemptContext {
  readonly state: EntryState;
  readonly attempt: AttemptRow;
  readonly request: RequestRow | undefined;
  readonly now: number;
}

function findContext(
  state: EntryState,
  endpoint: string,
  frame: AttemptKey,
  now: number,
): AttemptContext | null {
  const attempt = state.attempts.get(frame.attemptId);
  const matches =
    attempt !== undefined &&
    attempt.endpoint === endpoint &&
    attempt.requestId === frame.requestId &&
    attempt.stageIndex === frame.stageIndex;
  if (!matches) return null;
  const found = state.requests.get(attempt.requestId);
  const isCurrent = found?.currentAttemptId === attempt.attemptId;
  return {state, attempt, request: isCurrent ? found : undefined, now};
}

/** Whether no later stage generates, so that the tokens are the answer. */
function isAnswering({pipeline, stageIndex}: RequestRow): boolean {
  const later = pipeline.stages.slice(stageIndex + 1);
  return later.every(({kind}) => kind !== 'generate');
}

function handleTokens(
  {state, attempt, request}: AttemptContext,
  frame: FrameOf<'tokens'>,
): void {
  if (request === undefined) return;
  if (frame.position > attempt.nextPosition) {
    requestRecovery(state, attempt);
    return;
  }
  const newTokens = frame.tokens.slice(attempt.nextPosition - frame.position);
  if (newTokens.length === 0) return;
  const position = attempt.nextPosition;
  attempt.nextPosition += newTokens.length;
  attempt.recoverSent = false;
  if (!attempt.hasTokens && request.attemptsMade > 1) {
    // Two generations are never mixed: the others can no longer be used.
    cancelSupersededAttempts(state, request);
  }
  attempt.hasTokens = true;
  request.tokens.push(...newTokens);
  if (!isAnswering(request)) return;
  const {requestId} = request;
  state.commands.push({
    tag: 'deliverTokens',
    requestId,
    position,
    tokens: newTokens,
  });
}

function handleResult(
  {state, attempt, now}: AttemptContext,
  frame: FrameOf<'result'>,
): void {
  const request = state.requests.get(attempt.requestId);
  const isCurrent = request?.currentAttemptId === attempt.attemptId;
  const isGeneration = frame.output.kind === 'generate';
  const isUsable =
    request !== undefined &&
    request.stageIndex === attempt.stageIndex &&
    !isGeneration;
  if (request === undefined || !(isCurrent || isUsable)) {
    // A superseded generation may be resumed, with all of its tokens.
    if (attempt.state !== 'superseded') removeAttempt(state, attempt);
    return;
  }
  if (
    frame.output.kind === 'generate' &&
    frame.output.tokenCount !== attempt.nextPosition
  ) {
    requestRecovery(state, attempt);
    return;
  }
  recordResult(state, request, attempt, frame, now);
  removeAttempt(state, attempt);
  const output =
    frame.output.kind === 'generate'
      ? {...frame.output, tokens: [...request.tokens]}
      : frame.output;
  completeStage(state, request, output, now);
}

function handleRefused(
  {state, attempt, request, now}: AttemptContext,
  frame: FrameOf<'refused'>,
): void {
  removeAttempt(state, attempt);
  applyRefusal(state, request, attempt.endpoint, frame, now);
}

function handleHomes(
  state: EntryState,
  _endpoint: string,
  frame: FrameOf<'homes'>,
): void {
  for (const home of frame.homes) recordHome(state, home);
}

function handleFailed(
  {state, attempt, request, now}: AttemptContext,
  frame: FrameOf<'failed'>,
): void {
  const {endpoint} = attempt;
  removeAttempt(state, attempt);
  if (request === undefined) return;
  const {idempotent} = getCurrentStage(request);
  if (!idempotent && frame.outcome === 'notRun') {
    request.actionMayHaveRun = false;
  }
  const error: ServeError = {
    tag: frame.conflict ? 'keyConflict' : 'backendFailed',
    step: frame.conflict ? 'claim' : 'execute',
    peer: endpoint,
    outcome: frame.conflict ? 'notRun' : getFailureOutcome(request),
    message: frame.message,
  };
  const canRetry =
    !frame.conflict &&
    (frame.outcome === 'notRun' || (idempotent && state.retryBudget >= 1));
  request.lastError = error;
  request.excluded.add(endpoint);
  if (!canRetry) {
    if (resumeSupersededAttempt(state, request)) return;
    finishRequest(state, request, error);
    return;
  }
  if (frame.outcome !== 'notRun') state.retryBudget -= 1;
  scheduleRetry(request, now + ENTRY_LIMITS.retryPauseMilliseconds);
}

function handleTombstoned(
  {state, attempt, request, now}: AttemptContext,
  frame: FrameOf<'tombstoned'>,
): void {
  if (request === undefined || frame.state === 'begun') return;
  removeAttempt(state, attempt);
  request.actionMayHaveRun = false;
  scheduleRetry(request, now);
}

function handleAttemptUnknown({
  state,
  attempt,
  request,
  now,
}: AttemptContext): void {
  const {endpoint} = attempt;
  if (request !== undefined && !getCurrentStage(request).idempotent) {
    // The attempt's frame may still arrive: only a tombstone proves that the
    // action does not run.
    const {requestId, stageIndex, attemptId} = attempt;
    const tombstone = {
      tag: 'tombstone',
      requestId,
      stageIndex,
      attemptId,
    } as const;
    state.commands.push({tag: 'send', endpoint, frame: tombstone});
    return;
  }
  removeAttempt(state, attempt);
  if (request === undefined) return;
  request.excluded.add(endpoint);
  scheduleRetry(request, now);
}

function handleHeartbeat(
  state: EntryState,
  name: string,
  frame: FrameOf<'heartbeat'>,
  now: number,
): void {
  const endpoint = state.endpoints.get(name);
  if (endpoint === undefined) return;
  endpoint.leaving = frame.leaving;
  if (frame.load !== null) {
    endpoint.load = frame.load;
    endpoint.loadReportedAt = now;
    endpoint.sentSinceReport = 0;
    getOrCreateLatencyRow(state.load, name).endedSinceReport = 0;
  }
}

type AttemptHandler = (context: AttemptContext, frame: never) => void;

/** Handlers of frames about an attempt of this entry. */
const ATTEMPT_HANDLERS: Partial<Record<Frame['tag'], AttemptHandler>> = {
  tokens: handleTokens,
  result: handleResult,
  refused: handleRefused,
  failed: handleFailed,
  tombstoned: handleTombstoned,
  attemptUnknown: handleAttemptUnknown,
};

type EndpointHandler = (
  state: EntryState,
  endpoint: string,
  frame: never,
  now: number,
) => void;

/** Handlers of frames about the endpoint process itself. */
const ENDPOINT_HANDLERS: Partial<Record<Frame['tag'], EndpointHandler>> = {
  homes: handleHomes,
  heartbeat: handleHeartbeat,
};

/**
 * Handles a frame of an endpoint process and records when the endpoint was last
 * seen. A frame about an attempt that the entry does not track has no further
 * effect.
 *
 * @example
 *     handleFrame(state, 'engine-1', frame, now);
 */
export function handleFrame(
  state: EntryState,
  endpoint: string,
  frame: Frame,
  now: number,
): void {
  const endpointRow = state.endpoints.get(endpoint);
  if (endpointRow !== undefined) endpointRow.lastSeenAt = now;
  ENDPOINT_HANDLERS[frame.tag]?.(state, endpoint, frame as never, now);
  if (!('attemptId' in frame)) return;
  const context = findContext(state, endpoint, frame, now);
  if (context === null) return;
  ATTEMPT_HANDLERS[frame.tag]?.(context, frame as never);
}
