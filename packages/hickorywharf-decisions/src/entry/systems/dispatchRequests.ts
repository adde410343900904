import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';
import {composeStageInput} from '../composeStageInput.ts';
import {ENTRY_LIMITS} from '../entryLimits.ts';
import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';
import {finishRequest} from '../finishRequest.ts';
import {getCandidates} from '../getCandidates.ts';
import {getCurrentStage} from '../getCurrentStage.ts';
import {getFailureOutcome} from '../getFailureOutcome.ts';
import {getHomePart} from '../../homes/getHomePart.ts';
import {routingPolicies} from '../policies/routingPolicies.ts';

type Endpoint = EntryRows['endpoint'];
type RequestRow = EntryRows['request'];

function chooseHome(
  state: EntryState,
  request: RequestRow,
  candidates: readonly Endpoint[],
): Endpoint {
  const {pool} = getCurrentStage(request);
  const part = getHomePart(request.idempotencyKey ?? '', state.homeParts);
  const home = state.homes.get(`${pool}/${part}`);
  const known = candidates.find(({name}) => name === home?.home);
  if (known !== undefined) return known;
  // Whoever is asked knows better, and says so in its refusal.
  const names = candidates.map(({name}) => name);
  const [first] = orderByRendezvous(`${pool}/${part}`, names);
  return candidates.find(({name}) => name === first)!;
}

function chooseEndpoint(
  state: EntryState,
  request: RequestRow,
  candidates: readonly Endpoint[],
  now: number,
): Endpoint {
  if (!getCurrentStage(request).idempotent) {
    return chooseHome(state, request, candidates);
  }
  return routingPolicies[state.routingPolicy]!(state, candidates, now, request);
}

function getLaterMilliseconds(state: EntryState, request: RequestRow): number {
  let later = 0;
  const {name, stages} = request.pipeline;
  for (let index = request.stageIndex + 1; index < stages.length; index += 1) {
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
  // Where each has refused or failed once, each may be asked again.
  request.excluded.clear();
  request.readyAt = now + ENTRY_LIMITS.searchPauseMilliseconds;
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

/** Too late to begin an action, of which a tombstone could not be had. */
function isTooLate(request: RequestRow, now: number): boolean {
  const latest = request.deadlineAt - ENTRY_LIMITS.tombstoneMarginMilliseconds;
  const hasTried = request.attemptsMade > 0;
  return !getCurrentStage(request).idempotent && hasTried && now >= latest;
}

function refuseLate(state: EntryState, request: RequestRow): void {
  finishRequest(state, request, {
    tag: 'deadlineExceeded',
    step: 'queue',
    peer: request.lastError?.peer ?? null,
    outcome: getFailureOutcome(request),
    message: 'The action could not begin within the deadline.',
  });
}

/**
 * Sends each stage that is ready to an endpoint.
 *
 * @example
 *     dispatchRequests(state, now);
 */
export function dispatchRequests(state: EntryState, now: number): void {
  for (const request of [...state.requests.rows()]) {
    if (request.phase !== 'ready' || request.readyAt > now) continue;
    if (isTooLate(request, now)) {
      refuseLate(state, request);
      continue;
    }
    const {idempotent} = getCurrentStage(request);
    const isSpent =
      idempotent &&
      request.attemptsMade >= ENTRY_LIMITS.maximumAttemptsPerStage;
    if (isSpent && request.lastError !== null) {
      const outcome = getFailureOutcome(request);
      finishRequest(state, request, {...request.lastError, outcome});
      continue;
    }
    const candidates = getCandidates(state, request, now);
    if (candidates.length === 0) {
      waitForEndpoint(request, now);
      continue;
    }
    const endpoint = chooseEndpoint(state, request, candidates, now);
    sendAttempt(state, request, endpoint, now);
  }
}
