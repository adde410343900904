import type {Frame} from 'hickorywharf-types/frame';
import type {RefusalReason} from 'hickorywharf-types/refusalReason';
import type {ServeError} from 'hickorywharf-types/serveError';
import {ENTRY_LIMITS} from './entryLimits.ts';
import type {EntryRows} from './entryRows.ts';
import type {EntryState} from './entryState.ts';
import {finishRequest} from './finishRequest.ts';
import {getCurrentStage} from './getCurrentStage.ts';
import {getFailureOutcome} from './getFailureOutcome.ts';
import {getRequestHalf} from './getRequestHalf.ts';
import {recordHome} from './recordHome.ts';
import {resumeSupersededAttempt} from './resumeSupersededAttempt.ts';
import {scheduleRetry} from './scheduleRetry.ts';

type RefusedFrame = Extract<Frame, {tag: 'refused'}>;
type RequestRow = EntryRows['request'];

/** Reasons that every endpoint of the pool would give; never retried. */
const FINAL_REASONS: ReadonlySet<RefusalReason> = new Set([
  'keyForgotten',
  'keyInvalid',
  'keyClaimed',
  'homeLeft',
  'malformed',
]);

/** Reasons that leave open whether the key ran for an earlier request. */
const AMBIGUOUS_REASONS: ReadonlySet<RefusalReason> = new Set([
  'keyForgotten',
  'keyClaimed',
  'wrongHome',
  'homeUnsettled',
]);

/** Reasons to retry at the same endpoint or at the home in the refusal. */
const HOME_REASONS: ReadonlySet<RefusalReason> = new Set([
  'wrongHome',
  'keyOutsideInterval',
  'homeUnsettled',
  'staleConfiguration',
  'claimUnavailable',
]);

function toError(
  endpoint: string,
  request: RequestRow,
  frame: RefusedFrame,
): ServeError {
  return {
    tag: 'refused',
    reason: frame.reason,
    step: 'queue',
    peer: endpoint,
    outcome: getFailureOutcome(request),
    message: frame.message,
  };
}

function markLeaving(state: EntryState, name: string): void {
  const endpoint = state.endpoints.get(name);
  if (endpoint !== undefined) endpoint.leaving = true;
}

/**
 * Assigns the half again: the configuration may have moved the request to
 * another half since it was admitted.
 */
function refreshHalf(state: EntryState, request: RequestRow): void {
  const {configuration} = state;
  if (configuration === null) return;
  request.half = getRequestHalf(configuration, request);
  request.assignmentSequence = configuration.assignmentSequence;
}

/**
 * Handles the refusal of an attempt, which proves that the attempt did not
 * run. The stage is retried at another endpoint, at the home that the refusal
 * names or, after a pause, at the same endpoint; or the request fails. In any
 * case the homes that the refusal names are recorded.
 *
 * @param request undefined where the attempt is no longer the current one
 * @example
 *     applyRefusal(state, request, 'desk-1', frame, now);
 *     request.phase; // 'ready' if the stage is retried
 */
export function applyRefusal(
  state: EntryState,
  request: RequestRow | undefined,
  endpoint: string,
  frame: RefusedFrame,
  now: number,
): void {
  const {reason, homes = []} = frame;
  const newHomes = homes.filter((home) => recordHome(state, home));
  if (reason === 'leaving') markLeaving(state, endpoint);
  if (request === undefined) return;
  if (!getCurrentStage(request).idempotent) {
    request.actionMayHaveRun = false;
    // Only the key's home can prove that no earlier request ran it.
    request.keyMayHaveRun = AMBIGUOUS_REASONS.has(reason);
  }
  request.lastError = toError(endpoint, request, frame);
  const isInfeasible = reason === 'cannotFinish' && request.attemptsMade > 1;
  if (FINAL_REASONS.has(reason) || isInfeasible) {
    request.excluded.add(endpoint);
    if (resumeSupersededAttempt(state, request)) return;
    finishRequest(state, request, request.lastError);
    return;
  }
  if (!HOME_REASONS.has(reason)) {
    request.excluded.add(endpoint);
    scheduleRetry(request, now);
    return;
  }
  if (reason === 'staleConfiguration') refreshHalf(state, request);
  const isRedirect = newHomes.some(({home}) => home !== endpoint);
  const pause = isRedirect ? 0 : ENTRY_LIMITS.noEndpointPauseMilliseconds;
  scheduleRetry(request, now + pause);
}
