import type {CallRecord} from '../../load/callRecord.ts';

const MILLISECONDS_PER_SECOND = 1000;
/** Length of the windows over which attainment is computed. */
const WINDOW_SECONDS = 2;

/**
 * Returns the seconds until attainment reaches the target and stays there; if
 * it never does, the seconds to the end of the run.
 *
 * @param fromMilliseconds start, in the time of the schedule
 * @param target attainment to be reached again, from 0 to 1
 * @example
 *     getRecoverySeconds(records, 16_000, 0.99);
 */
export function getRecoverySeconds(
  records: readonly CallRecord[],
  fromMilliseconds: number,
  target: number,
): number {
  const later = records.filter(
    ({call}) => call.atMilliseconds >= fromMilliseconds,
  );
  const last = Math.max(...later.map(({call}) => call.atMilliseconds));
  const windows = Math.floor(
    (last - fromMilliseconds) / (WINDOW_SECONDS * MILLISECONDS_PER_SECOND),
  );
  let recovered = 0;
  for (let window = 0; window < windows; window += 1) {
    const start =
      fromMilliseconds + window * WINDOW_SECONDS * MILLISECONDS_PER_SECOND;
    const end = start + WINDOW_SECONDS * MILLISECONDS_PER_SECOND;
    const calls = later.filter(
      ({call}) => call.atMilliseconds >= start && call.atMilliseconds < end,
    );
    const good = calls.filter(({isGood}) => isGood).length;
    if (good < calls.length * target) recovered = (window + 1) * WINDOW_SECONDS;
  }
  return recovered;
}
