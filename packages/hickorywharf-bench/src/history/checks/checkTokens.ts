import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import type {HistoryCheck} from '../historyCheck.ts';

type EventOf<Tag> = Extract<HistoryEvent, {tag: Tag}>;

function findWrongToken(
  call: EventOf<'requestSent'>,
  tokens: readonly EventOf<'tokenReceived'>[],
): string | null {
  for (const [index, {position, token}] of tokens.entries()) {
    if (position !== index) {
      return `position ${position} instead of ${index}`;
    }
    if (token !== call.expectedTokens[index]) {
      return `a token of another generation at position ${index}`;
    }
  }
  return null;
}

/**
 * A stream delivers the tokens of its own generation in order, each once. The
 * stream of an answered call delivers all of them.
 *
 * @example
 *     checkTokens(history);
 */
export const checkTokens: HistoryCheck = (history) => {
  const tokens = Map.groupBy(history.select('tokenReceived'), (e) => e.callId);
  const outcomes = new Map(
    history.select('outcomeReceived').map((event) => [event.callId, event]),
  );
  return history.select('requestSent').flatMap((call) => {
    const received = tokens.get(call.callId) ?? [];
    const wrong = findWrongToken(call, received);
    if (wrong !== null) {
      const detail = `call ${call.callId} received ${wrong}`;
      return [{detail, events: [call, ...received]}];
    }
    const outcome = outcomes.get(call.callId);
    const expected = call.isStream ? call.expectedTokens.length : 0;
    const isComplete = received.length === expected;
    if (outcome?.outcome !== 'answered' || isComplete) return [];
    return [
      {
        detail: `call ${call.callId} was answered with ${received.length} of ${expected} tokens streamed`,
        events: [call, ...received.slice(-1), outcome],
      },
    ];
  });
};
