import type {HistoryCheck} from '../historyCheck.ts';

/** Time after the deadline by which every outcome has been received. */
const GRACE_MILLISECONDS = 1000;

/**
 * Each call receives exactly one outcome. It may be missing only if the history
 * ended, or the caller was killed, before it was due.
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
  const unsent = history
    .select('outcomeReceived')
    .filter(({callId}) => !sent.has(callId))
    .map((event) => ({
      detail: `call ${event.callId} received an outcome, but was never sent`,
      events: [event],
    }));
  const miscounted = [...sent.entries()].flatMap(([callId, calls]) => {
    const outcomes = received.get(callId) ?? [];
    if (outcomes.length === calls.length && calls.length === 1) return [];
    const call = calls[0]!;
    const end = history.getProcessRun(call).end;
    const endIndex = end?.index ?? history.lastIndex;
    const due = call.deadlineMilliseconds + GRACE_MILLISECONDS;
    const elapsed = history.getMinimumElapsed(history.getIndex(call), endIndex);
    const mayBeOpen = end?.kind !== 'planned' && elapsed <= due;
    if (outcomes.length === 0 && calls.length === 1 && mayBeOpen) return [];
    return [
      {
        detail: `call ${callId} was sent ${calls.length} times and received ${outcomes.length} outcomes`,
        events: [...calls, ...outcomes],
      },
    ];
  });
  return [...unsent, ...miscounted];
};
