import {encodeFrame} from 'hickorywharf-transport/encodeFrame';
import type {Frame} from 'hickorywharf-types/frame';

interface FrameCounts {
  readonly framesSent: number;
  readonly bytesSent: number;
  readonly framesReceived: number;
  readonly bytesReceived: number;
}

interface FrameCounter {
  countSent(frame: Frame): void;
  countReceived(frame: Frame): void;
  getCounts(): FrameCounts;
}

/**
 * Creates a counter of configuration frames and their bytes, for operators and
 * for measurements of the traffic against its budget.
 *
 * @example
 *     const counter = createFrameCounter();
 *     counter.countSent({tag: 'configurationAt', sequence: 7});
 *     counter.getCounts().framesSent; // 1
 */
export function createFrameCounter(): FrameCounter {
  const counts = {
    framesSent: 0,
    bytesSent: 0,
    framesReceived: 0,
    bytesReceived: 0,
  };
  return {
    countSent(frame) {
      counts.framesSent += 1;
      counts.bytesSent += encodeFrame(frame).length;
    },
    countReceived(frame) {
      counts.framesReceived += 1;
      counts.bytesReceived += encodeFrame(frame).length;
    },
    getCounts: () => ({...counts}),
  };
}
