import {fetchOperatorsState} from 'hickorywharf-operators/fetchOperatorsState';
import {sleep} from 'hickorywharf-utils/sleep';

const POLL_MILLISECONDS = 50;

/**
 * Waits until a sequence, or a newer one, is active in every process.
 *
 * @returns false if the timeout expired first
 * @example
 *     await waitForSequence(urls, 1, 10_000);
 */
export async function waitForSequence(
  urls: readonly string[],
  sequence: number,
  timeoutMilliseconds: number,
): Promise<boolean> {
  const timeoutAt = performance.now() + timeoutMilliseconds;
  while (performance.now() < timeoutAt) {
    const states = await Promise.all(urls.map(fetchOperatorsState));
    const isActive = states.every(
      (state) => state.isOk() && state.value.configuration.sequence >= sequence,
    );
    if (isActive) return true;
    await sleep(POLL_MILLISECONDS);
  }
  return false;
}
