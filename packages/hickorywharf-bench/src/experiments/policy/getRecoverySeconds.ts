import type {CallRecord} from '../../load/callRecord.ts';

const MILLISECONDS = 1000;
/** Calls of so many seconds are judged together. */
const WINDOW_SECONDS = 2;

/**
 * Seconds from a moment until the attainment is, and stays, what it was; to
 * the end of the run where it never is.
 *
 * @param fromMilliseconds the moment, in the time of the schedule
 * @param wanted attainment to come back to
 * @example
 *     getRecoverySeconds(records, 16_000, 0.99);
 */
export function getRecoverySeconds(
  records: readonly CallRecord[],
  fromMilliseconds: number,
  wanted: number,
): number {
  const later = records.filter(
    ({call}) => call.atMilliseconds >= fromMilliseconds,
  );
  const last = Math.max(...later.map(({call}) => call.atMilliseconds));
  const windows = Math.floor(
    (last - fromMilliseconds) / (WINDOW_SECONDS * MILLISECONDS),
  );
  let recovered = 0;
  for (let window = 0; window < windows; window += 1) {
    const start = fromMilliseconds + window * WINDOW_SECONDS * MILLISECONDS;
    const end = start + WINDOW_SECONDS * MILLISECONDS;
    const calls = later.filter(
      ({call}) => call.atMilliseconds >= start && call.atMilliseconds < end,
    );
    const good = calls.filter(({isGood}) => isGood).length;
    if (good < calls.length * wanted) recovered = (window + 1) * WINDOW_SECONDS;
  }
  return recovered;
}
