import {fetchOperatorsState} from 'hickorywharf-operators/fetchOperatorsState';
import {sleep} from 'hickorywharf-utils/sleep';

const POLL_MILLISECONDS = 50;

/**
 * Waits until a sequence is in force at every process.
 *
 * @returns whether it was within the time
 * @example
 *     await waitForSequence(urls, 1, 10_000);
 */
export async function waitForSequence(
  urls: readonly string[],
  sequence: number,
  milliseconds: number,
): Promise<boolean> {
  const end = performance.now() + milliseconds;
  while (performance.now() < end) {
    const states = await Promise.all(urls.map(fetchOperatorsState));
    const isThere = states.every(
      (state) => state.isOk() && state.value.configuration.sequence >= sequence,
    );
    if (isThere) return true;
    await sleep(POLL_MILLISECONDS);
  }
  return false;
}
