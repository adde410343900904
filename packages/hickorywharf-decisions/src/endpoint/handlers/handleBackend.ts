import type {Frame} from 'hickorywharf-types/frame';
import type {StageOutput} from 'hickorywharf-types/stageOutput';
import {endAttempt} from '../endAttempt.ts';
import type {EndpointEvent} from '../endpointEvent.ts';
import type {EndpointRows} from '../endpointRows.ts';
import type {EndpointState} from '../endpointState.ts';
import {updateUnitTime} from '../policies/updateUnitTime.ts';

type EventOf<Tag> = Extract<EndpointEvent, {tag: Tag}>;
type AttemptRow = EndpointRows['attempt'];
type EndingFrame = NonNullable<AttemptRow['ending']>;

function getKey(attempt: AttemptRow) {
  const {requestId, stageIndex, attemptId} = attempt.frame;
  return {requestId, stageIndex, attemptId};
}

function endAction(
  state: EndpointState,
  attempt: AttemptRow,
  ending: EndingFrame,
  now: number,
): void {
  // Only called for actions, which have a key.
  const action = state.actions.get(attempt.frame.idempotencyKey ?? '');
  if (action?.attemptId !== attempt.attemptId) return;
  const didNotRun = ending.tag === 'failed' && ending.outcome === 'notRun';
  if (didNotRun) {
    // A retry with the key may be accepted.
    state.actions.remove(action.idempotencyKey);
  } else {
    action.state = 'finished';
    action.ending = ending;
    action.finishedAt = now;
  }
  for (const joinedId of action.joined) {
    const joined = state.attempts.get(joinedId);
    if (joined === undefined || joined.state === 'finished') continue;
    endAttempt(state, joined, {...ending, ...getKey(joined)}, now);
  }
}

/** A generation is complete only if all the tokens that it counts arrived. */
function isComplete(attempt: AttemptRow, output: StageOutput): boolean {
  const received = attempt.firstPosition + attempt.tokens.length;
  return output.kind !== 'generate' || output.tokenCount === received;
}

function finish(
  state: EndpointState,
  attempt: AttemptRow,
  ending: EndingFrame,
  now: number,
): void {
  endAttempt(state, attempt, ending, now);
  if (!attempt.frame.idempotent) endAction(state, attempt, ending, now);
}

/**
 * Handles the events of the backend for running attempts; events for other
 * attempts are ignored. `now` is in monotonic milliseconds.
 *
 * @example
 *     const tokens = ['reel'];
 *     const event = {tag: 'backendTokens', attemptId, tokens} as const;
 *     handleBackend.backendTokens(state, event);
 */
export const handleBackend = {
  backendTokens(state: EndpointState, event: EventOf<'backendTokens'>): void {
    const attempt = state.attempts.get(event.attemptId);
    if (attempt?.state !== 'running') return;
    const position = attempt.firstPosition + attempt.tokens.length;
    attempt.tokens.push(...event.tokens);
    const frame: Frame = {
      tag: 'tokens',
      ...getKey(attempt),
      position,
      tokens: event.tokens,
    };
    state.commands.push({tag: 'send', peer: attempt.peer, frame});
  },

  backendFinished(
    state: EndpointState,
    event: EventOf<'backendFinished'>,
    now: number,
  ): void {
    const attempt = state.attempts.get(event.attemptId);
    if (attempt?.state !== 'running') return;
    if (!isComplete(attempt, event.output)) {
      const message =
        'The token count of the backend differs from the tokens received.';
      const {attemptId} = attempt;
      handleBackend.backendFailed(
        state,
        {tag: 'backendFailed', attemptId, outcome: 'unknown', message},
        now,
      );
      return;
    }
    updateUnitTime(state, attempt, now);
    const ending: EndingFrame = {
      tag: 'result',
      ...getKey(attempt),
      output: event.output,
      queuedMilliseconds: attempt.startedAt - attempt.arrivedAt,
      backendMilliseconds: now - attempt.startedAt,
    };
    finish(state, attempt, ending, now);
  },

  backendFailed(
    state: EndpointState,
    event: EventOf<'backendFailed'>,
    now: number,
  ): void {
    const attempt = state.attempts.get(event.attemptId);
    if (attempt?.state !== 'running') return;
    const ending: EndingFrame = {
      tag: 'failed',
      ...getKey(attempt),
      outcome: event.outcome,
      conflict: false,
      message: event.message,
    };
    finish(state, attempt, ending, now);
  },
};
