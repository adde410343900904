import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import type {Breach} from '../../breach.ts';
import type {HistoryCheck} from '../historyCheck.ts';
import type {HistoryIndex} from '../historyIndex.ts';

type EventOf<Tag> = Extract<HistoryEvent, {tag: Tag}>;
type Accepted = EventOf<'requestAccepted'>;
type Finished = EventOf<'requestFinished'>;
type Breaches = readonly Omit<Breach, 'promise'>[];

/** Deadline assumed for a request whose call is not in the history. */
const DEFAULT_DEADLINE_MILLISECONDS = 600_000;
const GRACE_MILLISECONDS = 1000;

function checkEnd(
  history: HistoryIndex,
  accepted: Accepted,
  finished: readonly Finished[],
  deadlineMilliseconds: number,
): Breaches {
  if (finished.length === 1) return [];
  const {requestId} = accepted;
  const {end} = history.getProcessRun(accepted);
  const endIndex = end?.index ?? history.lastIndex;
  const elapsed = history.getMinimumElapsed(
    history.getIndex(accepted),
    endIndex,
  );
  const mayBeOpen =
    end?.kind === 'killed' ||
    (end === null && elapsed <= deadlineMilliseconds + GRACE_MILLISECONDS);
  if (finished.length === 0 && mayBeOpen) return [];
  return [
    {
      detail: `request ${requestId} was accepted and ended ${finished.length} times`,
      events: [accepted, ...finished],
    },
  ];
}

/**
 * The caller received the outcome that the entry decided. It may lose its
 * connection only to an entry that was killed.
 */
function checkDelivery(
  history: HistoryIndex,
  accepted: Accepted,
  finished: Finished | undefined,
  received: EventOf<'outcomeReceived'> | undefined,
): Breaches {
  if (received === undefined) return [];
  const {end} = history.getProcessRun(accepted);
  const receivedAt = history.getIndex(received);
  if (received.outcome === 'connectionLost') {
    const wasKilled = end?.kind === 'killed' && end.index <= receivedAt;
    if (wasKilled) return [];
    return [
      {
        detail: `call ${received.callId} lost its connection to ${accepted.process}, which was not killed`,
        events: [accepted, received],
      },
    ];
  }
  const isSameOutcome = finished?.outcome === received.outcome;
  if (isSameOutcome && finished.requestId === received.requestId) return [];
  return [
    {
      detail: `call ${received.callId} received '${received.outcome}', but ${accepted.process} decided '${finished?.outcome}'`,
      events: [
        accepted,
        ...(finished === undefined ? [] : [finished]),
        received,
      ],
    },
  ];
}

/**
 * Each accepted request ends exactly once, with the outcome that its caller
 * receives. Only a kill of its entry excuses a missing end.
 *
 * @example
 *     checkRequestsFinish(history);
 */
export const checkRequestsFinish: HistoryCheck = (history) => {
  const calls = new Map(
    history.select('requestSent').map((event) => [event.callId, event]),
  );
  const outcomes = new Map(
    history.select('outcomeReceived').map((event) => [event.callId, event]),
  );
  const finished = Map.groupBy(
    history.select('requestFinished'),
    (event) => event.requestId,
  );
  return history.select('requestAccepted').flatMap((accepted) => {
    const finishes = finished.get(accepted.requestId) ?? [];
    const callId = accepted.callId ?? '';
    const deadline =
      calls.get(callId)?.deadlineMilliseconds ?? DEFAULT_DEADLINE_MILLISECONDS;
    return [
      ...checkEnd(history, accepted, finishes, deadline),
      ...checkDelivery(history, accepted, finishes[0], outcomes.get(callId)),
    ];
  });
};
