import type {PieceRow} from './pieceRow.ts';

interface BatchEndpoint {
  readonly batch: number;
  readonly callMilliseconds: number;
  /** Memory that the endpoint has left for results. */
  readonly roomBytes: number;
  readonly failureDomain: string;
  /** Failure domains where another endpoint is free now or soon. */
  readonly otherDomains: ReadonlySet<string>;
}

/** A piece that has more time than this may wait for an endpoint nearer by. */
const SPARE_MILLISECONDS = 250;

/**
 * The pieces of the next call of an endpoint, in the order in which they count.
 *
 * Load pattern: bursts above what the endpoints can do. Pieces that can still
 * be in time come first, the more urgent kinds before the less urgent ones and
 * the nearest target first; what is late already comes after them, by its
 * deadline, and uses what is left of the batch. A call is never held back to
 * fill: while an endpoint works, the next batch gathers by itself. A piece with
 * time to spare is left to an endpoint in the failure domain that reads it.
 *
 * @example
 *     planBatch(waiting, now, endpoint);
 */
export function planBatch<Row extends PieceRow>(
  waiting: Iterable<Row>,
  now: number,
  endpoint: BatchEndpoint,
): Row[] {
  const timely: Row[] = [];
  const late: Row[] = [];
  for (const row of waiting) {
    const doneAt = now + endpoint.callMilliseconds + row.workMilliseconds;
    const spare = row.targetAt - doneAt;
    const isLeft =
      spare > SPARE_MILLISECONDS &&
      row.failureDomain !== null &&
      row.failureDomain !== endpoint.failureDomain &&
      endpoint.otherDomains.has(row.failureDomain);
    if (isLeft) continue;
    (spare >= 0 ? timely : late).push(row);
  }
  timely.sort(
    (left, right) =>
      left.priority - right.priority || left.targetAt - right.targetAt,
  );
  late.sort((left, right) => left.deadlineAt - right.deadlineAt);
  const chosen: Row[] = [];
  let room = endpoint.roomBytes;
  for (const row of [...timely, ...late]) {
    if (chosen.length >= endpoint.batch) break;
    if (row.resultBytes > room) continue;
    room -= row.resultBytes;
    chosen.push(row);
  }
  return chosen;
}
