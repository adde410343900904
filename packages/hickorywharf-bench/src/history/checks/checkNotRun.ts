import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import type {HistoryCheck} from '../historyCheck.ts';

type EventOf<Tag> = Extract<HistoryEvent, {tag: Tag}>;

/**
 * The outcome `notRun` is reported only if no action ran because of the request,
 * before or after; for a pipeline without an action, only if no stage started.
 * It says nothing about earlier requests with the same idempotency key.
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
    report: EventOf<'outcomeReceived'> | EventOf<'requestFinished'>,
    call: EventOf<'requestSent'> | undefined,
  ) {
    if (report.outcome !== 'notRun') return [];
    const {requestId} = report;
    if (requestId === null) {
      const detail = '"not run" was reported without a request identifier';
      return [{detail, events: [report]}];
    }
    const ran = actions.get(requestId) ?? [];
    const started =
      call?.hasAction === false ? (stages.get(requestId) ?? []) : [];
    if (ran.length + started.length === 0) return [];
    const contradiction =
      ran.length > 0 ? 'its action ran' : 'one of its stages started';
    return [
      {
        detail: `request ${requestId} was reported as not run, but ${contradiction}`,
        events: [report, ...ran, ...started],
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
