import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import type {HistoryCheck} from '../historyCheck.ts';

type EventOf<Tag> = Extract<HistoryEvent, {tag: Tag}>;

/**
 * "Not run" is said only of a request because of which no action ran, before
 * or after; where its pipeline has no action, no stage began. It takes nothing
 * back that was said of an earlier request with the same key.
 *
 * @example
 *     checkNotRun(history);
 */
export const checkNotRun: HistoryCheck = (history) => {
  const actions = Map.groupBy(history.select('actionRan'), (e) => e.requestId);
  const stages = Map.groupBy(
    history.select('attemptBegan'),
    (event) => event.requestId,
  );
  const calls = new Map(
    history.select('requestSent').map((event) => [event.callId, event]),
  );
  const callsByRequest = new Map(
    history
      .select('requestAccepted')
      .map(({requestId, callId}) => [requestId, calls.get(callId ?? '')]),
  );

  function check(
    claim: EventOf<'outcomeReceived'> | EventOf<'requestFinished'>,
    call: EventOf<'requestSent'> | undefined,
  ) {
    if (claim.outcome !== 'notRun') return [];
    const {requestId} = claim;
    if (requestId === null) {
      const detail = '"not run" was said without a request identifier';
      return [{detail, events: [claim]}];
    }
    const ran = actions.get(requestId) ?? [];
    const began =
      call?.hasAction === false ? (stages.get(requestId) ?? []) : [];
    if (ran.length + began.length === 0) return [];
    const what = ran.length > 0 ? 'its action ran' : 'a stage of it began';
    return [
      {
        detail: `request ${requestId} was said not to have run, and ${what}`,
        events: [claim, ...ran, ...began],
      },
    ];
  }

  return [
    ...history
      .select('outcomeReceived')
      .flatMap((received) => check(received, calls.get(received.callId))),
    ...history
      .select('requestFinished')
      .flatMap((finished) =>
        check(finished, callsByRequest.get(finished.requestId)),
      ),
  ];
};
