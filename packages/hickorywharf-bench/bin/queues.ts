/**
 * Replays seeded schedules through each order of the endpoint's queue, using
 * only its decision core, in simulated time.
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
const MILLISECONDS_PER_SECOND = 1000;
const SHORT_PIPELINE = 'catalogue-question';
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
    (sum, {weight, tokens: [minimum, maximum]}) =>
      sum + (weight / weights) * ((minimum + maximum) / 2) * TOKEN_MILLISECONDS,
    0,
  );
  return (share * SLOTS * MILLISECONDS_PER_SECOND) / mean;
}

function getAnsweredShare(replayed: ReturnType<typeof replayQueue>): number {
  const good = replayed.filter(
    ({latencyMilliseconds}) =>
      latencyMilliseconds !== null &&
      latencyMilliseconds <= DEADLINE_MILLISECONDS,
  );
  return good.length / replayed.length;
}

function summarize(values: readonly number[], digits: number): string {
  const median = getPercentile(values, 0.5).toFixed(digits);
  const lowest = Math.min(...values).toFixed(digits);
  return `${median} (${lowest} to ${Math.max(...values).toFixed(digits)})`;
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
    const shortLatencies = runs.map((run) =>
      getPercentile(
        run.flatMap(({call, latencyMilliseconds}) =>
          call.pipeline === SHORT_PIPELINE && latencyMilliseconds !== null
            ? [latencyMilliseconds]
            : [],
        ),
        0.99,
      ),
    );
    const firstAccountShares = runs.map((run) =>
      getAnsweredShare(run.filter(({call}) => call.account === 'first')),
    );
    console.log(
      [
        load.padEnd(25),
        queueOrder.padEnd(16),
        `answered ${summarize(runs.map(getAnsweredShare), 3)}`,
        `first account ${summarize(firstAccountShares, 3)}`,
        `questions p99 ${summarize(shortLatencies, 0)} ms`,
      ].join('  '),
    );
  }
}
