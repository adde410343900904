import type {Frame} from 'hickorywharf-types/frame';
import {ENDPOINT_LIMITS} from '../endpointLimits.ts';
import type {EndpointRows} from '../endpointRows.ts';
import type {EndpointState} from '../endpointState.ts';
import {handleAttempt} from './handleAttempt.ts';
import {findOutcome} from './findOutcome.ts';
import {withdrawAttempt} from './withdrawAttempt.ts';

type FrameOf<Tag> = Extract<Frame, {tag: Tag}>;

/** Withdraws an attempt as `withdrawAttempt` does, without a response. */
function handleCancel(
  state: EndpointState,
  _peer: string,
  frame: FrameOf<'cancel'>,
  now: number,
): void {
  withdrawAttempt(state, frame, now);
}

/**
 * Withdraws an attempt and responds whether it had begun, after its ending if
 * that is known.
 */
function handleTombstone(
  state: EndpointState,
  peer: string,
  frame: FrameOf<'tombstone'>,
  now: number,
): void {
  const {requestId, stageIndex, attemptId} = frame;
  const outcome = withdrawAttempt(state, frame, now);
  // The ending may have been lost with a connection, and a second copy may
  // still arrive in time.
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

/**
 * Replays the tokens of an attempt in several frames, since a whole generation
 * may exceed the frame limit.
 */
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

/**
 * Replays an attempt, from the position that the frame names, to the entry that
 * sent it. If the row was evicted, sends the ending if that is still known.
 * Responds with `attemptUnknown` otherwise, and to an attempt of another entry.
 */
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
    const response: Frame = known ?? {tag: 'attemptUnknown', ...key};
    state.commands.push({tag: 'send', peer, frame: response});
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
 * @param now monotonic milliseconds
 * @example
 *     handlePeerFrame(state, connection.peer.incarnation, frame, now);
 */
export function handlePeerFrame(
  state: EndpointState,
  peer: string,
  frame: Frame,
  now: number,
): void {
  HANDLERS[frame.tag]?.(state, peer, frame as never, now);
}
