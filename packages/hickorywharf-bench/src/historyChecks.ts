import type {HistoryEvent} from 'hickorywharf-types/historyEvent';
import type {Breach} from './breach.ts';

type EventOf<Tag> = Extract<HistoryEvent, {tag: Tag}>;
type Check = (events: readonly HistoryEvent[]) => Breach[];

/** Time in which a leaving endpoint may still be given work. */
const LEAVING_MILLISECONDS = 3000;

function select<Tag extends HistoryEvent['tag']>(
  events: readonly HistoryEvent[],
  tag: Tag,
): EventOf<Tag>[] {
  return events.filter((event) => event.tag === tag) as EventOf<Tag>[];
}

function groupBy<Event>(
  events: readonly Event[],
  getKey: (event: Event) => string,
): Map<string, Event[]> {
  return Map.groupBy(events, getKey);
}

function checkOutcomes(events: readonly HistoryEvent[]): Breach[] {
  const outcomes = groupBy(select(events, 'outcomeReceived'), (e) => e.callId);
  return select(events, 'requestSent').flatMap((sent) => {
    const received = outcomes.get(sent.callId) ?? [];
    if (received.length === 1) return [];
    return [
      {
        promise: 'one outcome',
        detail: `call ${sent.callId} got ${received.length} outcomes`,
        events: [sent, ...received],
      },
    ];
  });
}

function checkAnswers(events: readonly HistoryEvent[]): Breach[] {
  const sentByCall = groupBy(select(events, 'requestSent'), (e) => e.callId);
  return select(events, 'outcomeReceived').flatMap((received) => {
    const sent = sentByCall.get(received.callId)?.[0];
    const isWrong =
      received.outcome === 'answered' &&
      received.answerDigest !== sent?.expectedDigest;
    if (!isWrong) return [];
    return [
      {
        promise: 'own and whole answer',
        detail: `call ${received.callId} got content that is not its own`,
        events: sent === undefined ? [received] : [sent, received],
      },
    ];
  });
}

function checkTokens(events: readonly HistoryEvent[]): Breach[] {
  const tokens = groupBy(select(events, 'tokenReceived'), (e) => e.callId);
  return [...tokens.values()].flatMap((received) => {
    const wrong = received.findIndex(({position}, index) => position !== index);
    if (wrong === -1) return [];
    return [
      {
        promise: 'no token missing or repeated',
        detail: `call ${received[0]!.callId} got position ${received[wrong]!.position} where ${wrong} was due`,
        events: received.slice(Math.max(0, wrong - 1), wrong + 1),
      },
    ];
  });
}

function checkAtMostOnce(events: readonly HistoryEvent[]): Breach[] {
  const runs = groupBy(select(events, 'actionRan'), (e) => e.idempotencyKey);
  return [...runs.entries()].flatMap(([key, ran]) =>
    ran.length <= 1
      ? []
      : [
          {
            promise: 'at most once',
            detail: `key ${key} ran ${ran.length} times`,
            events: ran,
          },
        ],
  );
}

function checkNotRun(events: readonly HistoryEvent[]): Breach[] {
  const runs = groupBy(select(events, 'actionRan'), (e) => e.requestId);
  return select(events, 'outcomeReceived').flatMap((received) => {
    if (received.outcome !== 'notRun' || received.requestId === null) return [];
    const ran = runs.get(received.requestId) ?? [];
    if (ran.length === 0) return [];
    return [
      {
        promise: '"not run" is true',
        detail: `request ${received.requestId} was said not to have run`,
        events: [received, ...ran],
      },
    ];
  });
}

function checkLeaving(events: readonly HistoryEvent[]): Breach[] {
  const leaving = select(events, 'endpointLeaving');
  return select(events, 'attemptAccepted').flatMap((accepted) => {
    const left = leaving.find(
      (event) =>
        event.process === accepted.process &&
        accepted.monotonicMilliseconds >
          event.monotonicMilliseconds + LEAVING_MILLISECONDS,
    );
    if (left === undefined) return [];
    return [
      {
        promise: 'no new work for a leaving endpoint',
        detail: `${accepted.endpoint} accepted ${accepted.attemptId} after it left`,
        events: [left, accepted],
      },
    ];
  });
}

function checkNeverReverts(events: readonly HistoryEvent[]): Breach[] {
  const inForce = groupBy(
    select(events, 'configurationInForce'),
    (event) => event.incarnation,
  );
  return [...inForce.values()].flatMap((changes) =>
    changes.flatMap((change, index) => {
      const before = changes[index - 1];
      if (before === undefined || change.sequence > before.sequence) return [];
      return [
        {
          promise: 'configuration never reverts',
          detail: `${change.process} went from ${before.sequence} to ${change.sequence}`,
          events: [before, change],
        },
      ];
    }),
  );
}

/** The checks of a history, by the promise that each verifies. */
export const historyChecks: Readonly<Record<string, Check>> = {
  'one outcome': checkOutcomes,
  'own and whole answer': checkAnswers,
  'no token missing or repeated': checkTokens,
  'at most once': checkAtMostOnce,
  '"not run" is true': checkNotRun,
  'no new work for a leaving endpoint': checkLeaving,
  'configuration never reverts': checkNeverReverts,
};
