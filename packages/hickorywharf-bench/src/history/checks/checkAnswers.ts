import type {HistoryCheck} from '../historyCheck.ts';

/**
 * Each answer has the content that follows from its own request.
 *
 * @example
 *     checkAnswers(history);
 */
export const checkAnswers: HistoryCheck = (history) => {
  const sent = new Map(
    history.select('requestSent').map((event) => [event.callId, event]),
  );
  return history.select('outcomeReceived').flatMap((received) => {
    if (received.outcome !== 'answered') return [];
    const call = sent.get(received.callId);
    if (received.answerDigest === call?.expectedDigest) return [];
    return [
      {
        detail: `call ${received.callId} got content that is not its own`,
        events: call === undefined ? [received] : [call, received],
      },
    ];
  });
};
