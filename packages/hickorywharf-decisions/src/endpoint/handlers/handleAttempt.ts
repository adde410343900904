import type {Frame} from 'hickorywharf-types/frame';
import type {RefusalReason} from 'hickorywharf-types/refusalReason';
import {getIssueTime} from 'hickorywharf-utils/getIssueTime';
import {getPartitionId} from '../../homes/getPartitionId.ts';
import {getPartition} from '../../homes/getPartition.ts';
import {createRefusal} from '../createRefusal.ts';
import type {EndpointRows} from '../endpointRows.ts';
import type {EndpointState} from '../endpointState.ts';
import {findActionRefusal} from './findActionRefusal.ts';

type AttemptFrame = Extract<Frame, {tag: 'attempt'}>;
type RefusedFrame = Extract<Frame, {tag: 'refused'}>;
type ActionRow = EndpointRows['action'];

function findAssignmentReason(
  state: EndpointState,
  frame: AttemptFrame,
): RefusalReason | null {
  if (state.leaving) return 'leaving';
  const record = state.configuration?.endpoints.get(state.name);
  if (record?.draining) return 'leaving';
  const half = record?.half ?? null;
  const isOtherHalf =
    half !== null && frame.half !== null && half !== frame.half;
  return isOtherHalf ? 'otherHalf' : null;
}

function findLoadReason(
  state: EndpointState,
  frame: AttemptFrame,
): RefusalReason | null {
  if (state.queued >= state.maximumQueueLength) return 'queueFull';
  if (frame.remainingMilliseconds <= 0) return 'cannotFinish';
  return null;
}

function findRefusal(
  state: EndpointState,
  frame: AttemptFrame,
  now: number,
): RefusedFrame | null {
  // An empty text has no issue time; an idempotent attempt may have no key.
  const issueTime = getIssueTime(frame.idempotencyKey ?? '');
  if (!frame.idempotent && issueTime !== null) {
    // Whether a home may run a key depends on its interval, not on its current
    // assignment: it may even if it drains or has moved to another half.
    const refusal = findActionRefusal(state, frame, issueTime, now);
    if (refusal !== null) return refusal;
  } else {
    const reason = findAssignmentReason(state, frame);
    if (reason !== null) return createRefusal(frame, reason);
  }
  const reason = findLoadReason(state, frame);
  return reason === null ? null : createRefusal(frame, reason);
}

/**
 * Identifies the request of an action: another request with the same key is a
 * conflict. The input may name no action, and the body may have no digest.
 */
function getFingerprint(frame: AttemptFrame): string {
  const {account, stageIndex, input, bodyDigest} = frame;
  const action = input.action?.name ?? '';
  return `${account}/${stageIndex}/${action}/${bodyDigest ?? ''}`;
}

function insertAttempt(
  state: EndpointState,
  peer: string,
  frame: AttemptFrame,
  now: number,
  attemptState: 'claiming' | 'queued' | 'joined',
): void {
  state.attempts.insert(frame.attemptId, {
    attemptId: frame.attemptId,
    peer,
    frame,
    state: attemptState,
    arrivedAt: now,
    deadlineAt: now + frame.remainingMilliseconds,
    startedAt: 0,
    cancelled: false,
    tokens: [],
    firstPosition: frame.input.continuation?.length ?? 0,
    ending: null,
    finishedAt: 0,
    bytes: 0,
  });
  if (attemptState === 'queued') {
    state.queued += 1;
    state.commands.push({tag: 'accepted', attempt: frame});
  }
}

/** Inserts the row of an action; `handleAttempt` ensures that it has a key. */
function insertAction(
  state: EndpointState,
  frame: AttemptFrame,
  actionState: 'claiming' | 'queued',
): void {
  const {pool, half} = frame;
  const key = frame.idempotencyKey ?? '';
  const part = getPartition(key, state.homePartitionCount);
  state.actions.insert(key, {
    idempotencyKey: key,
    fingerprint: getFingerprint(frame),
    issueTime: getIssueTime(key),
    partitionId: getPartitionId({pool, half, part}),
    attemptId: frame.attemptId,
    joined: [],
    state: actionState,
    ending: null,
    finishedAt: 0,
  });
}

/**
 * Queues an action whose key has an issue time. A key without one lies in no
 * interval of a home, so it is claimed in the store first.
 */
function admitAction(
  state: EndpointState,
  peer: string,
  frame: AttemptFrame,
  now: number,
): void {
  const {pool, attemptId, remainingMilliseconds} = frame;
  const idempotencyKey = frame.idempotencyKey ?? '';
  if (getIssueTime(idempotencyKey) !== null) {
    insertAction(state, frame, 'queued');
    insertAttempt(state, peer, frame, now, 'queued');
    return;
  }
  insertAction(state, frame, 'claiming');
  insertAttempt(state, peer, frame, now, 'claiming');
  state.commands.push({
    tag: 'claim',
    pool,
    idempotencyKey,
    attemptId,
    remainingMilliseconds,
  });
}

/**
 * Handles an attempt whose key is known, without running the key again: another
 * request with the key fails as a conflict, a finished action has its ending
 * sent again, and the attempt joins an action that has not finished.
 */
function handleKnownAction(
  state: EndpointState,
  peer: string,
  frame: AttemptFrame,
  action: ActionRow,
  now: number,
): void {
  const {requestId, stageIndex, attemptId} = frame;
  if (action.fingerprint !== getFingerprint(frame)) {
    const conflict: Frame = {
      tag: 'failed',
      requestId,
      stageIndex,
      attemptId,
      outcome: 'notRun',
      conflict: true,
      message: 'The Idempotency-Key was used with a different request.',
    };
    state.commands.push({tag: 'send', peer, frame: conflict});
    return;
  }
  if (action.ending !== null) {
    const ending = {...action.ending, requestId, stageIndex, attemptId};
    state.commands.push({tag: 'send', peer, frame: ending});
    return;
  }
  action.joined.push(attemptId);
  insertAttempt(state, peer, frame, now, 'joined');
}

/**
 * Keeps a refused action from running if its frame arrives again: the refusal
 * asserts that it did not run.
 */
function recordRefusal(
  state: EndpointState,
  {attemptId, idempotent}: AttemptFrame,
  now: number,
): void {
  if (idempotent) return;
  state.tombstones.insert(attemptId, {attemptId, writtenAt: now});
}

/**
 * Queues an attempt, has its key claimed, or refuses it without running it. If
 * the key of an action is known, the attempt gets the outcome of that action or
 * fails as a conflict. A repeated frame of a known attempt is ignored.
 *
 * @param peer incarnation of the entry
 * @param now monotonic milliseconds
 * @example
 *     handleAttempt(state, 'entry-1', frame, now);
 */
export function handleAttempt(
  state: EndpointState,
  peer: string,
  frame: AttemptFrame,
  now: number,
): void {
  if (state.attempts.has(frame.attemptId)) return;
  if (state.tombstones.has(frame.attemptId)) {
    const refusal = createRefusal(frame, 'tombstoned');
    state.commands.push({tag: 'send', peer, frame: refusal});
    return;
  }
  const action = frame.idempotent
    ? undefined
    : state.actions.get(frame.idempotencyKey ?? '');
  if (action !== undefined) {
    handleKnownAction(state, peer, frame, action, now);
    return;
  }
  if (!frame.idempotent && !frame.idempotencyKey) {
    const invalid = createRefusal(frame, 'keyInvalid');
    state.commands.push({tag: 'send', peer, frame: invalid});
    return;
  }
  const refusal = findRefusal(state, frame, now);
  if (refusal !== null) {
    recordRefusal(state, frame, now);
    state.commands.push({tag: 'send', peer, frame: refusal});
    return;
  }
  if (frame.idempotent) insertAttempt(state, peer, frame, now, 'queued');
  else admitAction(state, peer, frame, now);
}
