import {chooseHome} from '../chooseHome.ts';
import {composeStageInput} from '../composeStageInput.ts';
import {ENTRY_LIMITS} from '../entryLimits.ts';
import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';
import {findSupersededAttempt} from '../findSupersededAttempt.ts';
import {finishRequest} from '../finishRequest.ts';
import {getCandidates} from '../getCandidates.ts';
import {getCurrentStage} from '../getCurrentStage.ts';
import {getFailureOutcome} from '../getFailureOutcome.ts';
import {hasUsedUpAttempts} from '../hasUsedUpAttempts.ts';
import {routingPolicies} from '../policies/routingPolicies.ts';
import {resumeSupersededAttempt} from '../resumeSupersededAttempt.ts';

type Endpoint = EntryRows['endpoint'];
type RequestRow = EntryRows['request'];

function chooseEndpoint(
  state: EntryState,
  request: RequestRow,
  now: number,
): Endpoint | null {
  const candidates = getCandidates(state, request, now);
  if (!getCurrentStage(request).idempotent) {
    return chooseHome(state, request, candidates, now);
  }
  if (candidates.length === 0) return null;
  return routingPolicies[state.routingPolicy]!(state, candidates, now, request);
}

function getLaterMilliseconds(state: EntryState, request: RequestRow): number {
  let later = 0;
  const {name, stages} = request.pipeline;
  for (let index = request.stageIndex + 1; index < stages.length; index += 1) {
    // A stage without an estimate counts as 0.
    later += state.estimates.get(`${name}/${index}`)?.milliseconds ?? 0;
  }
  return later;
}

function sendAttempt(
  state: EntryState,
  request: RequestRow,
  endpoint: Endpoint,
  now: number,
): void {
  const stage = getCurrentStage(request);
  state.nextIdentifier += 1;
  const attemptId = `${state.incarnation}-${state.nextIdentifier}`;
  const {requestId, stageIndex} = request;
  state.attempts.insert(attemptId, {
    requestId,
    stageIndex,
    attemptId,
    endpoint: endpoint.name,
    endpointIncarnation: endpoint.incarnation,
    sentAt: now,
    state: 'sent',
    nextPosition: request.tokens.length,
    recoverSent: false,
    hasTokens: false,
  });
  endpoint.inFlight += 1;
  endpoint.sentSinceReport += 1;
  request.phase = 'waiting';
  request.currentAttemptId = attemptId;
  request.attemptsMade += 1;
  request.begun = true;
  request.tombstoneSent = false;
  if (!stage.idempotent) request.actionMayHaveRun = true;
  state.commands.push({
    tag: 'send',
    endpoint: endpoint.name,
    frame: {
      tag: 'attempt',
      requestId,
      stageIndex,
      attemptId,
      kind: stage.kind,
      pool: stage.pool,
      idempotent: stage.idempotent,
      half: request.half,
      route: request.route,
      assignmentSequence: request.assignmentSequence,
      account: request.account,
      accountWeight: request.accountWeight,
      remainingMilliseconds: request.deadlineAt - now,
      laterMilliseconds: getLaterMilliseconds(state, request),
      input: composeStageInput(request),
      idempotencyKey: request.idempotencyKey,
      bodyDigest: request.bodyDigest,
      traceparent: request.traceparent,
    },
  });
}

function waitForEndpoint(request: RequestRow, now: number): void {
  // Endpoints that refused or failed this stage may be tried again.
  request.excluded.clear();
  request.readyAt = now + ENTRY_LIMITS.noEndpointPauseMilliseconds;
  const {pool} = getCurrentStage(request);
  request.lastError ??= {
    tag: 'noEndpoint',
    pool,
    step: 'route',
    peer: null,
    outcome: getFailureOutcome(request),
    message: `No endpoint of pool '${pool}' can be reached.`,
  };
}

/** Goes on with a generation at the endpoint that others were asked to replace. */
function resumeGeneration(state: EntryState, request: RequestRow): boolean {
  if (getCurrentStage(request).kind !== 'generate') return false;
  const superseded = findSupersededAttempt(state, request);
  if (superseded === undefined) return false;
  const endpoint = state.endpoints.get(superseded.endpoint);
  return (
    endpoint?.connected === true && resumeSupersededAttempt(state, request)
  );
}

/** Whether too little time is left to tombstone a retry of an action. */
function isTooLate(request: RequestRow, now: number): boolean {
  const latest = request.deadlineAt - ENTRY_LIMITS.tombstoneMarginMilliseconds;
  const hasTried = request.attemptsMade > 0;
  return !getCurrentStage(request).idempotent && hasTried && now >= latest;
}

function failLate(state: EntryState, request: RequestRow): void {
  finishRequest(state, request, {
    tag: 'deadlineExceeded',
    step: 'queue',
    peer: request.lastError?.peer ?? null,
    outcome: getFailureOutcome(request),
    message: 'The action could not start within the deadline.',
  });
}

/**
 * Sends each stage that is ready to an endpoint, or waits where no endpoint can
 * be used. A request fails where its attempts are used up or an action can no
 * longer be retried in time.
 *
 * @example
 *     dispatchRequests(state, now);
 *     state.commands.length; // 2, if two stages were ready
 */
export function dispatchRequests(state: EntryState, now: number): void {
  for (const request of [...state.requests.rows()]) {
    if (request.phase !== 'ready' || request.readyAt > now) continue;
    if (isTooLate(request, now)) {
      failLate(state, request);
      continue;
    }
    if (hasUsedUpAttempts(request) && request.lastError !== null) {
      if (resumeSupersededAttempt(state, request)) continue;
      const outcome = getFailureOutcome(request);
      finishRequest(state, request, {...request.lastError, outcome});
      continue;
    }
    const endpoint = chooseEndpoint(state, request, now);
    if (endpoint === null) {
      if (resumeGeneration(state, request)) continue;
      waitForEndpoint(request, now);
      continue;
    }
    sendAttempt(state, request, endpoint, now);
  }
}
