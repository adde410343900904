import type {Frame} from 'hickorywharf-types/frame';
import type {EndpointRows} from './endpointRows.ts';
import type {EndpointState} from './endpointState.ts';

type EndingFrame = NonNullable<EndpointRows['attempt']['ending']>;

/**
 * Estimates the memory of an attempt: one byte for each character of its input
 * text and tokens, 256 for the row and 8 more for each token.
 */
function estimateBytes(attempt: EndpointRows['attempt']): number {
  let bytes = 256 + attempt.frame.input.text.length;
  for (const token of attempt.tokens) bytes += token.length + 8;
  return bytes;
}

/**
 * Ends an attempt: stores its ending for the retention window and sends it to
 * the entry that waits.
 *
 * @param now monotonic milliseconds
 * @example
 *     endAttempt(state, attempt, refusal, now);
 */
export function endAttempt(
  state: EndpointState,
  attempt: EndpointRows['attempt'],
  ending: EndingFrame,
  now: number,
): void {
  if (attempt.state === 'running') state.running -= 1;
  if (attempt.state === 'queued') state.queued -= 1;
  attempt.state = 'finished';
  attempt.ending = ending;
  attempt.finishedAt = now;
  attempt.bytes = estimateBytes(attempt);
  state.retainedBytes += attempt.bytes;
  const frame: Frame = ending;
  state.commands.push({tag: 'send', peer: attempt.peer, frame});
}
