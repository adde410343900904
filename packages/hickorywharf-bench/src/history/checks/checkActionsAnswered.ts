import type {HistoryCheck} from '../historyCheck.ts';

/**
 * A call with an action that was answered has had its action run, by itself or
 * by an earlier call with the same key.
 *
 * @example
 *     checkActionsAnswered(history);
 */
export const checkActionsAnswered: HistoryCheck = (history) => {
  const ran = new Set(
    history.select('actionRan').map((event) => event.idempotencyKey),
  );
  const calls = new Map(
    history.select('requestSent').map((event) => [event.callId, event]),
  );
  return history.select('outcomeReceived').flatMap((received) => {
    const call = calls.get(received.callId);
    if (received.outcome !== 'answered' || !call?.hasAction) return [];
    if (ran.has(call.idempotencyKey ?? '')) return [];
    return [
      {
        detail: `call ${received.callId} was answered and its action never ran`,
        events: [call, received],
      },
    ];
  });
};
