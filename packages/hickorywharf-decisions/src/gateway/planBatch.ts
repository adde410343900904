import type {PieceRow} from './pieceRow.ts';

interface BatchLimits {
  readonly batch: number;
  readonly callMilliseconds: number;
  /** Memory that the endpoint has left for results. */
  readonly roomBytes: number;
}

/**
 * The pieces of the next call of an endpoint, in the order in which they count.
 *
 * Load pattern: bursts above what the endpoints can do. Pieces that can still
 * be in time come first, the more urgent kinds before the less urgent ones and
 * the nearest target first; what is late already comes after them, by its
 * deadline, and uses what is left of the batch. A call is never held back to
 * fill: while an endpoint works, the next batch gathers by itself.
 *
 * @example
 *     planBatch(waiting, now, {batch: 7, callMilliseconds: 150, roomBytes: 4e7});
 */
export function planBatch<Row extends PieceRow>(
  waiting: Iterable<Row>,
  now: number,
  limits: BatchLimits,
): Row[] {
  const timely: Row[] = [];
  const late: Row[] = [];
  for (const row of waiting) {
    const doneAt = now + limits.callMilliseconds + row.workMilliseconds;
    (doneAt <= row.targetAt ? timely : late).push(row);
  }
  timely.sort(
    (left, right) =>
      left.priority - right.priority || left.targetAt - right.targetAt,
  );
  late.sort((left, right) => left.deadlineAt - right.deadlineAt);
  const chosen: Row[] = [];
  let room = limits.roomBytes;
  for (const row of [...timely, ...late]) {
    if (chosen.length >= limits.batch) break;
    if (row.resultBytes > room) continue;
    room -= row.resultBytes;
    chosen.push(row);
  }
  return chosen;
}
