/**
 * Replays seeded schedules through each order of the endpoint's queue, with the
 * decisions alone and in the schedules' own time.
 *
 *     npm run queues
 */
import {queuePolicies} from 'hickorywharf-decisions/endpoint/policies/queuePolicies';
import {createSchedule} from 'hickorywharf-bench/load/createSchedule';
import {loadMixes} from 'hickorywharf-bench/load/loadMixes';
import type {ScheduledCall} from 'hickorywharf-bench/load/scheduledCall';
import {getPercentile} from 'hickorywharf-bench/getPercentile';
import {replayQueue} from 'hickorywharf-bench/replay/replayQueue';

const SEEDS = [1, 2, 3, 4, 5];
const SLOTS = 4;
const TOKEN_MILLISECONDS = 20;
const DEADLINE_MILLISECONDS = 1800;
const SECONDS = 60;
const MILLISECONDS = 1000;
const SHORT = 'catalogue-question';
const MIX = loadMixes.authority.filter(
  ({pipeline}) => pipeline !== 'toy-checkout',
);

const LOADS = {
  'at 70%': {share: 0.7, accounts: {first: 1, second: 1}},
  'at 95%': {share: 0.95, accounts: {first: 1, second: 1}},
  'at 200%': {share: 2, accounts: {first: 1, second: 1}},
  'one account at ten times': {share: 2.2, accounts: {first: 1, second: 10}},
};

function getServiceMilliseconds({maximumTokens}: ScheduledCall): number {
  return maximumTokens * TOKEN_MILLISECONDS;
}

function getRate(share: number): number {
  const weights = MIX.reduce((sum, {weight}) => sum + weight, 0);
  const mean = MIX.reduce(
    (sum, {weight, tokens: [least, most]}) =>
      sum + (weight / weights) * ((least + most) / 2) * TOKEN_MILLISECONDS,
    0,
  );
  return (share * SLOTS * MILLISECONDS) / mean;
}

function getShare(replayed: ReturnType<typeof replayQueue>): number {
  const good = replayed.filter(
    ({latencyMilliseconds}) =>
      latencyMilliseconds !== null &&
      latencyMilliseconds <= DEADLINE_MILLISECONDS,
  );
  return good.length / replayed.length;
}

function summarize(values: readonly number[], digits: number): string {
  const median = getPercentile(values, 0.5).toFixed(digits);
  const least = Math.min(...values).toFixed(digits);
  return `${median} (${least} to ${Math.max(...values).toFixed(digits)})`;
}

for (const [load, {share, accounts}] of Object.entries(LOADS)) {
  for (const queueOrder of Object.keys(queuePolicies)) {
    const runs = SEEDS.map((seed) =>
      replayQueue({
        queueOrder,
        slots: SLOTS,
        schedule: createSchedule({
          seed,
          phases: [{seconds: SECONDS, ratePerSecond: getRate(share)}],
          mix: MIX,
          accounts,
        }),
        deadlineMilliseconds: DEADLINE_MILLISECONDS,
        getServiceMilliseconds,
      }),
    );
    const shorts = runs.map((run) =>
      getPercentile(
        run.flatMap(({call, latencyMilliseconds}) =>
          call.pipeline === SHORT && latencyMilliseconds !== null
            ? [latencyMilliseconds]
            : [],
        ),
        0.99,
      ),
    );
    const firsts = runs.map((run) =>
      getShare(run.filter(({call}) => call.account === 'first')),
    );
    console.log(
      [
        load.padEnd(25),
        queueOrder.padEnd(16),
        `answered ${summarize(runs.map(getShare), 3)}`,
        `first account ${summarize(firsts, 3)}`,
        `questions p99 ${summarize(shorts, 0)} ms`,
      ].join('  '),
    );
  }
}
