/** A call that waited when the process of its endpoint ended. */
interface WaitedCall {
  readonly sentAt: number;
  readonly endedAt: number;
}

/**
 * Counts the ends of processes that can be consequences of one cause in the
 * calls: each counted call was sent after the counted end before. Processes
 * that end together, while the same calls wait, count once.
 *
 * @example
 *     countStrikes([
 *       {sentAt: 0, endedAt: 50},
 *       {sentAt: 10, endedAt: 60},
 *       {sentAt: 70, endedAt: 90},
 *     ]); // 2
 */
export function countStrikes(calls: readonly WaitedCall[]): number {
  const sorted = [...calls].sort((left, right) => left.endedAt - right.endedAt);
  let strikes = 0;
  let lastAt = -Infinity;
  for (const {sentAt, endedAt} of sorted) {
    if (sentAt <= lastAt) continue;
    strikes += 1;
    lastAt = endedAt;
  }
  return strikes;
}
