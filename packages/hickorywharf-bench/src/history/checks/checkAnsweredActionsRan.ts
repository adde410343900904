import type {HistoryCheck} from '../historyCheck.ts';

/**
 * If a call with an action was answered, its action ran, because of the call
 * itself or of an earlier one with the same idempotency key.
 *
 * @example
 *     checkAnsweredActionsRan(history);
 */
export const checkAnsweredActionsRan: HistoryCheck = (history) => {
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
        detail: `call ${received.callId} was answered, but its action never ran`,
        events: [call, received],
      },
    ];
  });
};
