import type {Frame} from 'hickorywharf-types/frame';
import {ENDPOINT_LIMITS} from '../endpointLimits.ts';
import type {EndpointRows} from '../endpointRows.ts';
import type {EndpointState} from '../endpointState.ts';
import {handleAttempt} from './handleAttempt.ts';
import {findOutcome} from './findOutcome.ts';
import {withdrawAttempt} from './withdrawAttempt.ts';

type FrameOf<Tag> = Extract<Frame, {tag: Tag}>;

/** Also refuses the attempt if its frame is still in flight. */
function handleCancel(
  state: EndpointState,
  _peer: string,
  frame: FrameOf<'cancel'>,
  now: number,
): void {
  withdrawAttempt(state, frame, now);
}

function handleTombstone(
  state: EndpointState,
  peer: string,
  frame: FrameOf<'tombstone'>,
  now: number,
): void {
  const {requestId, stageIndex, attemptId} = frame;
  const outcome = withdrawAttempt(state, frame, now);
  // An ending that was lost with a connection may still arrive in time.
  const ending = outcome === 'begun' ? findOutcome(state, frame) : null;
  if (ending !== null) state.commands.push({tag: 'send', peer, frame: ending});
  state.commands.push({
    tag: 'send',
    peer,
    frame: {
      tag: 'tombstoned',
      requestId,
      stageIndex,
      attemptId,
      state: outcome,
    },
  });
}

/** Uses several frames: a whole generation may exceed the frame limit. */
function replayTokens(
  state: EndpointState,
  attempt: EndpointRows['attempt'],
  fromPosition: number,
): void {
  const {requestId, stageIndex, attemptId} = attempt.frame;
  const {peer, tokens, firstPosition} = attempt;
  const size = ENDPOINT_LIMITS.replayTokens;
  let start = Math.max(0, fromPosition - firstPosition);
  for (; start < tokens.length; start += size) {
    const frame: Frame = {
      tag: 'tokens',
      requestId,
      stageIndex,
      attemptId,
      position: firstPosition + start,
      tokens: tokens.slice(start, start + size),
    };
    state.commands.push({tag: 'send', peer, frame});
  }
}

function handleRecover(
  state: EndpointState,
  peer: string,
  frame: FrameOf<'recover'>,
): void {
  const {requestId, stageIndex, attemptId, fromPosition} = frame;
  const attempt = state.attempts.get(attemptId);
  if (attempt === undefined || attempt.peer !== peer) {
    const key = {requestId, stageIndex, attemptId};
    const known = attempt === undefined ? findOutcome(state, frame) : null;
    const answer: Frame = known ?? {tag: 'attemptUnknown', ...key};
    state.commands.push({tag: 'send', peer, frame: answer});
    return;
  }
  replayTokens(state, attempt, fromPosition);
  if (attempt.ending !== null) {
    state.commands.push({tag: 'send', peer, frame: attempt.ending});
  }
}

type PeerFrameHandler = (
  state: EndpointState,
  peer: string,
  frame: never,
  now: number,
) => void;

const HANDLERS: Partial<Record<Frame['tag'], PeerFrameHandler>> = {
  attempt: handleAttempt,
  cancel: handleCancel,
  tombstone: handleTombstone,
  recover: handleRecover,
};

/**
 * Handles a frame from an entry; frames that entries do not send are ignored.
 *
 * @param peer incarnation of the entry
 * @example
 *     handlePeerFrame(state, 'entry-1', frame, now);
 */
export function handlePeerFrame(
  state: EndpointState,
  peer: string,
  frame: Frame,
  now: number,
): void {
  HANDLERS[frame.tag]?.(state, peer, frame as never, now);
}
