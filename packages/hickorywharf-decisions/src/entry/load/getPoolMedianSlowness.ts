import type {EntryState} from '../entryState.ts';

/**
 * Returns the median slowness of the endpoints of a pool that have samples, the
 * lower one of two middle values, or 1 where no endpoint has samples.
 *
 * @example
 *     getPoolMedianSlowness(state, ['engine-1', 'engine-2']); // 1.2
 */
export function getPoolMedianSlowness(
  state: EntryState,
  names: readonly string[],
): number {
  const values = names
    .flatMap((name) => state.load.latencies.get(name) ?? [])
    .filter(({samples}) => samples > 0)
    .map(({slowness}) => slowness)
    .sort((left, right) => left - right);
  return values[Math.floor((values.length - 1) / 2)] ?? 1;
}
