import type {StageForecast} from './stageForecast.ts';

/**
 * Expected times from the end of each stage to the first event of the call's
 * response stream, in milliseconds and in the order of the stages. The timely
 * waits of the stages count; they are 0 in forecasts without waits.
 *
 * Designed for bursts in which each stage of a chain has a queue: a call that
 * uses up its slack in its first stage is late in the next.
 *
 * @param engineMilliseconds time from the arrival of the last stage result at
 *     the engine, the endpoint that generates the response, to the first event
 * @example
 *     const first = {after: [], workMilliseconds: 300};
 *     const second = {after: [0], workMilliseconds: 250};
 *     getRemainingTimes([first, second], 200); // [450, 200]
 */
export function getRemainingTimes(
  stages: ReadonlyArray<
    Pick<StageForecast, 'after' | 'workMilliseconds'> &
      Partial<Pick<StageForecast, 'timelyWaitMilliseconds'>>
  >,
  engineMilliseconds: number,
): number[] {
  const times = stages.map(() => engineMilliseconds);
  for (let position = stages.length - 1; position >= 0; position -= 1) {
    const {
      after,
      workMilliseconds,
      timelyWaitMilliseconds = 0,
    } = stages[position]!;
    for (const earlier of after) {
      const time = times[position]! + workMilliseconds + timelyWaitMilliseconds;
      times[earlier] = Math.max(times[earlier]!, time);
    }
  }
  return times;
}
