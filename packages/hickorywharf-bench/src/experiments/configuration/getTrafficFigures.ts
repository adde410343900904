import type {HistoryEvent} from 'hickorywharf-types/historyEvent';

interface TrafficFigures {
  readonly sent: number;
  /** Share of calls answered whole within their deadline. */
  readonly attainment: number;
  /** Calls refused as "not run". */
  readonly refused: number;
  readonly unknown: number;
  /** Calls whose connection ended without an outcome. */
  readonly cut: number;
  /** Calls that have no outcome in the history at all. */
  readonly lost: number;
}

type OutcomeEvent = Extract<HistoryEvent, {tag: 'outcomeReceived'}>;

/**
 * What became of the calls that one process of callers sent within a span of
 * wall time.
 *
 * @example
 *     getTrafficFigures(events, 'authority-town-callers', 0, Infinity);
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
    const taken = received.monotonicMilliseconds - event.monotonicMilliseconds;
    const isLate = taken > event.deadlineMilliseconds;
    if (received.outcome === 'answered' && isLate) late += 1;
  }
  return {
    sent,
    attainment: sent === 0 ? 0 : (counts.answered - late) / sent,
    refused: counts.notRun,
    unknown: counts.unknown,
    cut: counts.connectionLost,
    lost,
  };
}
