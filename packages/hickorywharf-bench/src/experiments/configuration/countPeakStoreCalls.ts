import {sleep} from 'hickorywharf-utils/sleep';
import {countStoreCalls} from './countStoreCalls.ts';
import {storeStandIn} from './storeStandIn.ts';

interface PeakOptions {
  readonly storeUrl: string;
  readonly seconds: number;
}

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Counts store calls for some seconds and returns the highest count in one
 * second.
 *
 * @example
 *     await countPeakStoreCalls({storeUrl, seconds: 5});
 */
export async function countPeakStoreCalls(
  options: PeakOptions,
): Promise<number> {
  let peak = 0;
  let before = await storeStandIn.getCalls(options.storeUrl);
  for (let second = 0; second < options.seconds; second += 1) {
    await sleep(MILLISECONDS_PER_SECOND);
    const after = await storeStandIn.getCalls(options.storeUrl);
    peak = Math.max(peak, countStoreCalls(before, after));
    before = after;
  }
  return peak;
}
