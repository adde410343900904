import {createRandom} from 'hickorywharf-utils/createRandom';
import type {StageLoad} from './stageLoad.ts';

interface Arrival {
  /** Time of the arrival, in milliseconds. */
  readonly at: number;
  readonly kind: string;
  /** Pieces of each stage; 0 for a stage that the request skips. */
  readonly pieces: readonly number[];
}

/**
 * Generates the requests of a load in the order of their arrival. Each kind has
 * Poisson arrivals; the same seed gives the same requests.
 *
 * @example
 *     createArrivals(burstLoad, 1).length;
 */
export function createArrivals(load: StageLoad, seed: number): Arrival[] {
  const random = createRandom(seed);
  const arrivals: Arrival[] = [];
  for (const [kind, {perSecond, stages}] of Object.entries(load.kinds)) {
    let at = 0;
    while (at < load.seconds * 1000) {
      const second = at / 1000;
      const factor = load.bursts
        .filter(
          (burst) =>
            burst.kind === kind &&
            burst.fromSecond <= second &&
            second < burst.toSecond,
        )
        .reduce((product, burst) => product * burst.factor, 1);
      at += (-Math.log(1 - random()) * 1000) / (perSecond * factor);
      const pieces = stages.map((stage) => {
        const isUsed = stage.share === undefined || random() < stage.share;
        if (!isUsed) return 0;
        return Math.max(1, Math.round(stage.pieces * (0.5 + random())));
      });
      arrivals.push({at, kind, pieces});
    }
  }
  return arrivals.sort((left, right) => left.at - right.at);
}
