import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import type {Breach} from '../../breach.ts';
import type {HistoryCheck} from '../historyCheck.ts';
import type {HistoryIndex} from '../historyIndex.ts';

type EventOf<Tag> = Extract<HistoryEvent, {tag: Tag}>;
type Accepted = EventOf<'requestAccepted'>;
type Finished = EventOf<'requestFinished'>;
type Found = readonly Omit<Breach, 'promise'>[];

/** Bounds a request whose call is not in the history. */
const LONGEST_MILLISECONDS = 600_000;
const GRACE_MILLISECONDS = 1000;

function checkEnd(
  history: HistoryIndex,
  accepted: Accepted,
  finished: readonly Finished[],
  deadlineMilliseconds: number,
): Found {
  if (finished.length === 1) return [];
  const {requestId} = accepted;
  const {end} = history.getLife(accepted);
  const last = end?.index ?? history.lastIndex;
  const passed = history.getElapsedAtLeast(history.getIndex(accepted), last);
  const mayBeOpen =
    end?.kind === 'killed' ||
    (end === null && passed <= deadlineMilliseconds + GRACE_MILLISECONDS);
  if (finished.length === 0 && mayBeOpen) return [];
  return [
    {
      detail: `request ${requestId} was accepted and ended ${finished.length} times`,
      events: [accepted, ...finished],
    },
  ];
}

/** A caller may lose its connection only to an entry that was killed. */
function checkDelivery(
  history: HistoryIndex,
  accepted: Accepted,
  finished: Finished | undefined,
  received: EventOf<'outcomeReceived'> | undefined,
): Found {
  if (received === undefined) return [];
  const {end} = history.getLife(accepted);
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
  const isTold = finished?.outcome === received.outcome;
  if (isTold && finished.requestId === received.requestId) return [];
  return [
    {
      detail: `call ${received.callId} was told '${received.outcome}' and ${accepted.process} decided '${finished?.outcome}'`,
      events: [
        accepted,
        ...(finished === undefined ? [] : [finished]),
        received,
      ],
    },
  ];
}

/**
 * Each accepted request ends once, with the outcome that its caller is told.
 * Only a kill of its entry excuses it.
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
    const ends = finished.get(accepted.requestId) ?? [];
    const callId = accepted.callId ?? '';
    const deadline =
      calls.get(callId)?.deadlineMilliseconds ?? LONGEST_MILLISECONDS;
    return [
      ...checkEnd(history, accepted, ends, deadline),
      ...checkDelivery(history, accepted, ends[0], outcomes.get(callId)),
    ];
  });
};
