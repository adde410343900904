import type {StageForecast} from './stageForecast.ts';

/**
 * Expected times from the end of each stage to the first event of the call's
 * response stream if nothing queues, in milliseconds and in the order of the
 * stages.
 *
 * @param engineMilliseconds time from the arrival of the last stage result at
 *     the engine, the endpoint that generates the response, to the first event
 * @example
 *     const first = {after: [], workMilliseconds: 300};
 *     const second = {after: [0], workMilliseconds: 250};
 *     getRemainingTimes([first, second], 200); // [450, 200]
 */
export function getRemainingTimes(
  stages: ReadonlyArray<Pick<StageForecast, 'after' | 'workMilliseconds'>>,
  engineMilliseconds: number,
): number[] {
  const times = stages.map(() => engineMilliseconds);
  for (let position = stages.length - 1; position >= 0; position -= 1) {
    const {after, workMilliseconds} = stages[position]!;
    for (const earlier of after) {
      const time = times[position]! + workMilliseconds;
      times[earlier] = Math.max(times[earlier]!, time);
    }
  }
  return times;
}
