import {sleep} from 'hickorywharf-utils/sleep';
import type {Link} from './link.ts';

/**
 * Creates a link of limited bandwidth.
 *
 * @example
 *     const link = createLink(875_000);
 *     await link.send(87_500); // takes 100 ms
 */
export function createLink(bytesPerSecond: number): Link {
  let bandwidth = bytesPerSecond;
  let sentBytes = 0;
  let isFreeAt = 0;
  return {
    get sentBytes() {
      return sentBytes;
    },
    setBandwidth(next) {
      bandwidth = next;
    },
    async send(bytes) {
      const now = performance.now();
      isFreeAt = Math.max(isFreeAt, now) + (bytes / bandwidth) * 1000;
      sentBytes += bytes;
      await sleep(isFreeAt - now);
    },
  };
}
