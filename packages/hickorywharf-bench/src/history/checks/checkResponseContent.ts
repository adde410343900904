import type {HistoryCheck} from '../historyCheck.ts';

/**
 * Each answered call received the content that its own request determines.
 *
 * @example
 *     checkResponseContent(history);
 */
export const checkResponseContent: HistoryCheck = (history) => {
  const sent = new Map(
    history.select('requestSent').map((event) => [event.callId, event]),
  );
  return history.select('outcomeReceived').flatMap((received) => {
    if (received.outcome !== 'answered') return [];
    const call = sent.get(received.callId);
    if (received.answerDigest === call?.expectedDigest) return [];
    return [
      {
        detail: `call ${received.callId} received content that does not match its request`,
        events: call === undefined ? [received] : [call, received],
      },
    ];
  });
};
