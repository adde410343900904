import {createSchedule} from '../load/createSchedule.ts';
import {loadMixes} from '../load/loadMixes.ts';
import {replayQueue} from './replayQueue.ts';

const SECONDS = 120;
/** Stage calls that one endpoint process is designed for. */
const CALLS_PER_SECOND = 25;
const SLOTS = 16;
const SERVICE_MILLISECONDS = 500;
const DEADLINE_MILLISECONDS = 2000;

/**
 * Measures the processor time of an endpoint's decisions, in microseconds for
 * each stage call, including ticks and the retention of outcomes.
 *
 * @param queueOrder name of the queue policy
 *
 * @example
 *     measureQueueDecisions('fairShortest');
 */
export function measureQueueDecisions(queueOrder: string): number {
  const schedule = createSchedule({
    seed: 1,
    phases: [{seconds: SECONDS, ratePerSecond: CALLS_PER_SECOND}],
    mix: loadMixes.authority,
    accounts: {first: 1, second: 1},
  });
  const before = process.cpuUsage();
  replayQueue({
    queueOrder,
    slots: SLOTS,
    schedule,
    deadlineMilliseconds: DEADLINE_MILLISECONDS,
    retentionMilliseconds: 30_000,
    getServiceMilliseconds: () => SERVICE_MILLISECONDS,
  });
  const {user, system} = process.cpuUsage(before);
  return (user + system) / schedule.length;
}
