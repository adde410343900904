import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import type {HistoryCheck} from '../historyCheck.ts';

type EventOf<Tag> = Extract<HistoryEvent, {tag: Tag}>;

function findWrongToken(
  call: EventOf<'requestSent'>,
  tokens: readonly EventOf<'tokenReceived'>[],
): string | null {
  for (const [index, {position, token}] of tokens.entries()) {
    if (position !== index) {
      return `position ${position} where ${index} was due`;
    }
    if (token !== call.expectedTokens[index]) {
      return `at position ${index} a token of another generation`;
    }
  }
  return null;
}

/**
 * A stream has every token of its own generation, in order, once; an answered
 * one has all of them.
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
      const detail = `call ${call.callId} got ${wrong}`;
      return [{detail, events: [call, ...received]}];
    }
    const outcome = outcomes.get(call.callId);
    const expected = call.isStream ? call.expectedTokens.length : 0;
    const isWhole = received.length === expected;
    if (outcome?.outcome !== 'answered' || isWhole) return [];
    return [
      {
        detail: `call ${call.callId} was answered with ${received.length} of ${expected} tokens streamed`,
        events: [call, ...received.slice(-1), outcome],
      },
    ];
  });
};
