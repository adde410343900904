import type {HistoryEvent} from 'hickorywharf-types/historyEvent';

interface TrafficFigures {
  readonly sent: number;
  /** Share of calls answered completely within their deadline, from 0 to 1. */
  readonly attainment: number;
  /** Calls refused with the outcome `notRun`. */
  readonly refused: number;
  readonly unknown: number;
  /** Calls whose connection closed before an outcome. */
  readonly disconnected: number;
  /** Calls without any outcome in the history. */
  readonly lost: number;
}

type OutcomeEvent = Extract<HistoryEvent, {tag: 'outcomeReceived'}>;

/**
 * Counts the outcomes of the calls that one caller process sent within a range
 * of wall time; its end is exclusive.
 *
 * @example
 *     getTrafficFigures(events, 'town-callers', 0, Infinity);
 */
export function getTrafficFigures(
  events: readonly HistoryEvent[],
  process: string,
  fromMilliseconds: number,
  untilMilliseconds: number,
): TrafficFigures {
  const outcomes = new Map<string, OutcomeEvent>();
  for (const event of events) {
    if (event.tag === 'outcomeReceived') outcomes.set(event.callId, event);
  }
  const counts = {answered: 0, notRun: 0, unknown: 0, connectionLost: 0};
  let sent = 0;
  let lost = 0;
  let late = 0;
  for (const event of events) {
    if (event.tag !== 'requestSent' || event.process !== process) continue;
    if (event.wallMilliseconds < fromMilliseconds) continue;
    if (event.wallMilliseconds >= untilMilliseconds) continue;
    sent += 1;
    const received = outcomes.get(event.callId);
    if (received === undefined) {
      lost += 1;
      continue;
    }
    counts[received.outcome] += 1;
    const elapsed =
      received.monotonicMilliseconds - event.monotonicMilliseconds;
    const isLate = elapsed > event.deadlineMilliseconds;
    if (received.outcome === 'answered' && isLate) late += 1;
  }
  return {
    sent,
    attainment: sent === 0 ? 0 : (counts.answered - late) / sent,
    refused: counts.notRun,
    unknown: counts.unknown,
    disconnected: counts.connectionLost,
    lost,
  };
}
