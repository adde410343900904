import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import type {HistoryCheck} from '../historyCheck.ts';
import type {HistoryIndex} from '../historyIndex.ts';

type EventOf<Tag> = Extract<HistoryEvent, {tag: Tag}>;

/** What an entry may take to notice that the deadline passed. */
const ENTRY_MARGIN_MILLISECONDS = 100;
/** What connection and scheduling may add where the caller measures. */
const CALLER_MARGIN_MILLISECONDS = 1000;

function wasPaused(history: HistoryIndex, accepted: HistoryEvent): boolean {
  return history
    .select('processPaused')
    .some(({name}) => name === accepted.process);
}

/** An answer after the deadline is late even where its entry was paused. */
function checkEntry(
  history: HistoryIndex,
  call: EventOf<'requestSent'>,
  accepted: EventOf<'requestAccepted'>,
  finished: EventOf<'requestFinished'> | undefined,
) {
  if (finished?.incarnation !== accepted.incarnation) return [];
  const took = finished.monotonicMilliseconds - accepted.monotonicMilliseconds;
  const allowed = call.deadlineMilliseconds + ENTRY_MARGIN_MILLISECONDS;
  const isExcused =
    finished.outcome !== 'answered' && wasPaused(history, accepted);
  if (took <= allowed || isExcused) return [];
  return [
    {
      detail: `request ${accepted.requestId} ended '${finished.outcome}' ${(took - call.deadlineMilliseconds).toFixed(0)} ms after its deadline`,
      events: [call, accepted, finished],
    },
  ];
}

function checkCaller(
  history: HistoryIndex,
  call: EventOf<'requestSent'>,
  received: EventOf<'outcomeReceived'> | undefined,
  accepted: EventOf<'requestAccepted'> | undefined,
) {
  if (received === undefined || received.outcome === 'connectionLost') {
    return [];
  }
  const took = received.monotonicMilliseconds - call.monotonicMilliseconds;
  const allowed = call.deadlineMilliseconds + CALLER_MARGIN_MILLISECONDS;
  // The connection to a paused entry waits; its own clock is checked above.
  const isExcused = accepted !== undefined && wasPaused(history, accepted);
  if (took <= allowed || isExcused) return [];
  return [
    {
      detail: `call ${call.callId} got its outcome after ${took.toFixed(0)} ms, with a deadline of ${call.deadlineMilliseconds} ms`,
      events: [call, received],
    },
  ];
}

/**
 * An outcome comes within the deadline, as the entry and as the caller measure
 * it, each on its own clock.
 *
 * @example
 *     checkDeadlines(history);
 */
export const checkDeadlines: HistoryCheck = (history) => {
  const accepted = new Map(
    history.select('requestAccepted').map((event) => [event.callId, event]),
  );
  const finished = new Map(
    history.select('requestFinished').map((event) => [event.requestId, event]),
  );
  const received = new Map(
    history.select('outcomeReceived').map((event) => [event.callId, event]),
  );
  return history.select('requestSent').flatMap((call) => {
    const taken = accepted.get(call.callId);
    const atEntry =
      taken === undefined
        ? []
        : checkEntry(history, call, taken, finished.get(taken.requestId));
    const atCaller = checkCaller(
      history,
      call,
      received.get(call.callId),
      taken,
    );
    return [...atEntry, ...atCaller];
  });
};
