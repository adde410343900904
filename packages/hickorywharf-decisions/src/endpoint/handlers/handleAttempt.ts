import type {Frame} from 'hickorywharf-types/frame';
import type {RefusalReason} from 'hickorywharf-types/refusalReason';
import {getIssueTime} from 'hickorywharf-utils/getIssueTime';
import {createRefusal} from '../createRefusal.ts';
import type {EndpointRows} from '../endpointRows.ts';
import type {EndpointState} from '../endpointState.ts';
import {findActionRefusal} from './findActionRefusal.ts';

type AttemptFrame = Extract<Frame, {tag: 'attempt'}>;
type ActionRow = EndpointRows['action'];

function findRefusalReason(
  state: EndpointState,
  frame: AttemptFrame,
): RefusalReason | null {
  if (state.leaving) return 'leaving';
  const record = state.configuration?.endpoints.get(state.name);
  if (record?.draining) return 'leaving';
  const half = record?.half ?? null;
  if (half !== null && frame.half !== null && half !== frame.half) {
    return 'otherHalf';
  }
  if (state.queued >= state.maximumQueueLength) return 'queueFull';
  if (frame.remainingMilliseconds <= 0) return 'cannotFinish';
  return null;
}

function insertAttempt(
  state: EndpointState,
  peer: string,
  frame: AttemptFrame,
  now: number,
  attemptState: 'queued' | 'joined',
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

function insertAction(state: EndpointState, frame: AttemptFrame): void {
  const key = frame.idempotencyKey ?? '';
  state.actions.insert(key, {
    idempotencyKey: key,
    bodyDigest: frame.bodyDigest ?? '',
    issueTime: getIssueTime(key) ?? 0,
    attemptId: frame.attemptId,
    joined: [],
    state: 'queued',
    ending: null,
    finishedAt: 0,
  });
}

/** A key that is remembered gets its own outcome again, and never a new run. */
function answerKnownAction(
  state: EndpointState,
  peer: string,
  frame: AttemptFrame,
  action: ActionRow,
  now: number,
): void {
  const {requestId, stageIndex, attemptId} = frame;
  if (action.bodyDigest !== (frame.bodyDigest ?? '')) {
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

/** What was said not to have run must not run when its frame comes again. */
function noteRefusal(
  state: EndpointState,
  {attemptId, idempotent}: AttemptFrame,
  now: number,
): void {
  if (idempotent) return;
  state.tombstones.insert(attemptId, {attemptId, writtenAt: now});
}

/**
 * Takes an attempt into the queue or refuses it, truly not run.
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
  const reason = findRefusalReason(state, frame);
  const refusal =
    reason !== null
      ? createRefusal(frame, reason)
      : frame.idempotent
        ? null
        : findActionRefusal(state, frame);
  if (refusal !== null) {
    noteRefusal(state, frame, now);
    state.commands.push({tag: 'send', peer, frame: refusal});
    return;
  }
  if (!frame.idempotent) insertAction(state, frame);
  insertAttempt(state, peer, frame, now, 'queued');
}
