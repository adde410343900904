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
  const issueTime = getIssueTime(frame.idempotencyKey ?? '');
  if (!frame.idempotent && issueTime !== null) {
    // A home may run a key by its interval, even if it drains or has moved.
    const refusal = findActionRefusal(state, frame, issueTime, now);
    if (refusal !== null) return refusal;
  } else {
    const reason = findAssignmentReason(state, frame);
    if (reason !== null) return createRefusal(frame, reason);
  }
  const reason = findLoadReason(state, frame);
  return reason === null ? null : createRefusal(frame, reason);
}

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

/** Replays or awaits the outcome of a known key; it never runs again. */
function answerKnownAction(
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

/** A refused action must not run when its frame arrives again. */
function recordRefusal(
  state: EndpointState,
  {attemptId, idempotent}: AttemptFrame,
  now: number,
): void {
  if (idempotent) return;
  state.tombstones.insert(attemptId, {attemptId, writtenAt: now});
}

/**
 * Queues an attempt, joins it to a running action with the same key, or refuses
 * it without running it. A repeated frame of a known attempt is ignored.
 *
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
    answerKnownAction(state, peer, frame, action, now);
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
