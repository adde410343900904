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
import {scheduleRetry} from './scheduleRetry.ts';

type RefusedFrame = Extract<Frame, {tag: 'refused'}>;
type RequestRow = EntryRows['request'];

/** Refusals that every endpoint of the pool would repeat. */
const FINAL_REASONS: ReadonlySet<RefusalReason> = new Set([
  'keyForgotten',
  'keyInvalid',
  'keyClaimed',
  'homeLeft',
  'malformed',
]);

/** Refusals by which the key may have run for an earlier request. */
const UNPROVEN_REASONS: ReadonlySet<RefusalReason> = new Set([
  'keyForgotten',
  'keyClaimed',
  'wrongHome',
  'homeUnsettled',
]);

/** Refusals after which the same endpoint, or the one it names, is asked. */
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

function noteLeaving(state: EntryState, name: string): void {
  const endpoint = state.endpoints.get(name);
  if (endpoint !== undefined) endpoint.leaving = true;
}

/** The configuration may have moved the request since it was admitted. */
function refreshHalf(state: EntryState, request: RequestRow): void {
  const {configuration} = state;
  if (configuration === null) return;
  request.half = getRequestHalf(configuration, request);
  request.assignmentSequence = configuration.assignmentSequence;
}

/**
 * Takes the refusal of an attempt, which truly did not run: the stage goes
 * elsewhere, to the home that the refusal names, or the request ends.
 *
 * @param request undefined where the attempt no longer counts
 * @example
 *     applyRefusal(state, request, 'desk-1', frame, now);
 */
export function applyRefusal(
  state: EntryState,
  request: RequestRow | undefined,
  endpoint: string,
  frame: RefusedFrame,
  now: number,
): void {
  const {reason, homes = []} = frame;
  const learned = homes.filter((home) => recordHome(state, home));
  if (reason === 'leaving') noteLeaving(state, endpoint);
  if (request === undefined) return;
  if (!getCurrentStage(request).idempotent) {
    request.actionMayHaveRun = false;
    // Whoever is home to the key can prove that it did not run.
    request.keyMayHaveRun = UNPROVEN_REASONS.has(reason);
  }
  request.lastError = toError(endpoint, request, frame);
  const isHopeless = reason === 'cannotFinish' && request.attemptsMade > 1;
  if (FINAL_REASONS.has(reason) || isHopeless) {
    finishRequest(state, request, request.lastError);
    return;
  }
  if (!HOME_REASONS.has(reason)) {
    request.excluded.add(endpoint);
    scheduleRetry(request, now);
    return;
  }
  if (reason === 'staleConfiguration') refreshHalf(state, request);
  const isRedirect = learned.some(({home}) => home !== endpoint);
  const pause = isRedirect ? 0 : ENTRY_LIMITS.noEndpointPauseMilliseconds;
  scheduleRetry(request, now + pause);
}
