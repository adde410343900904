import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import type {HistoryCheck} from '../historyCheck.ts';
import type {HistoryIndex} from '../historyIndex.ts';

type EventOf<Tag> = Extract<HistoryEvent, {tag: Tag}>;

/** Time in which an entry has to detect that a deadline has passed. */
const ENTRY_MARGIN_MILLISECONDS = 100;
/** Allowance for connection and scheduling delays, measured at the caller. */
const CALLER_MARGIN_MILLISECONDS = 1000;

function wasPaused(history: HistoryIndex, accepted: HistoryEvent): boolean {
  return history
    .select('processPaused')
    .some(({name}) => name === accepted.process);
}

/** A pause of the entry excuses any late outcome except an answer. */
function checkEntry(
  history: HistoryIndex,
  call: EventOf<'requestSent'>,
  accepted: EventOf<'requestAccepted'>,
  finished: EventOf<'requestFinished'> | undefined,
) {
  if (finished?.incarnation !== accepted.incarnation) return [];
  const elapsed =
    finished.monotonicMilliseconds - accepted.monotonicMilliseconds;
  const allowed = call.deadlineMilliseconds + ENTRY_MARGIN_MILLISECONDS;
  const isExcused =
    finished.outcome !== 'answered' && wasPaused(history, accepted);
  if (elapsed <= allowed || isExcused) return [];
  return [
    {
      detail: `request ${accepted.requestId} ended '${finished.outcome}' ${(elapsed - call.deadlineMilliseconds).toFixed(0)} ms after its deadline`,
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
  const elapsed = received.monotonicMilliseconds - call.monotonicMilliseconds;
  const allowed = call.deadlineMilliseconds + CALLER_MARGIN_MILLISECONDS;
  // A paused entry delays its connections; `checkEntry` uses its own clock.
  const isExcused = accepted !== undefined && wasPaused(history, accepted);
  if (elapsed <= allowed || isExcused) return [];
  return [
    {
      detail: `call ${call.callId} received its outcome after ${elapsed.toFixed(0)} ms, with a deadline of ${call.deadlineMilliseconds} ms`,
      events: [call, received],
    },
  ];
}

/**
 * Each outcome is reached within the deadline, measured by the entry and by the
 * caller, each on its own monotonic clock.
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
    const acceptance = accepted.get(call.callId);
    const entryBreaches =
      acceptance === undefined
        ? []
        : checkEntry(
            history,
            call,
            acceptance,
            finished.get(acceptance.requestId),
          );
    const callerBreaches = checkCaller(
      history,
      call,
      received.get(call.callId),
      acceptance,
    );
    return [...entryBreaches, ...callerBreaches];
  });
};
