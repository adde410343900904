import {sleep} from 'hickorywharf-utils/sleep';
import {countCalls} from './countCalls.ts';
import {storeStandIn} from './storeStandIn.ts';

interface PeakOptions {
  readonly storeUrl: string;
  readonly seconds: number;
}

const MILLISECONDS_PER_SECOND = 1000;

/**
 * The most calls on the store in any of the next seconds.
 *
 * @example
 *     await countPeakCalls({storeUrl, seconds: 5});
 */
export async function countPeakCalls(options: PeakOptions): Promise<number> {
  let peak = 0;
  let before = await storeStandIn.getCalls(options.storeUrl);
  for (let second = 0; second < options.seconds; second += 1) {
    await sleep(MILLISECONDS_PER_SECOND);
    const after = await storeStandIn.getCalls(options.storeUrl);
    peak = Math.max(peak, countCalls(before, after));
    before = after;
  }
  return peak;
}
