import type {HistoryCheck} from '../historyCheck.ts';

/** Time after the deadline in which an outcome is surely received. */
const GRACE_MILLISECONDS = 1000;

/**
 * Each call gets one outcome. A call may lack it only where the history ends,
 * or its caller was killed, before it was due.
 *
 * @example
 *     checkOutcomes(history);
 */
export const checkOutcomes: HistoryCheck = (history) => {
  const sent = Map.groupBy(history.select('requestSent'), (e) => e.callId);
  const received = Map.groupBy(
    history.select('outcomeReceived'),
    (e) => e.callId,
  );
  const foreign = history
    .select('outcomeReceived')
    .filter(({callId}) => !sent.has(callId))
    .map((event) => ({
      detail: `call ${event.callId} got an outcome and was never sent`,
      events: [event],
    }));
  const wrong = [...sent.entries()].flatMap(([callId, calls]) => {
    const outcomes = received.get(callId) ?? [];
    if (outcomes.length === calls.length && calls.length === 1) return [];
    const call = calls[0]!;
    const end = history.getLife(call).end;
    const last = end?.index ?? history.lastIndex;
    const due = call.deadlineMilliseconds + GRACE_MILLISECONDS;
    const passed = history.getElapsedAtLeast(history.getIndex(call), last);
    const mayBeOpen = end?.kind !== 'planned' && passed <= due;
    if (outcomes.length === 0 && calls.length === 1 && mayBeOpen) return [];
    return [
      {
        detail: `call ${callId} was sent ${calls.length} times and got ${outcomes.length} outcomes`,
        events: [...calls, ...outcomes],
      },
    ];
  });
  return [...foreign, ...wrong];
};
