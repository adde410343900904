import test from 'ava';
import fc from 'fast-check';
import {createRetryBudget} from '../createRetryBudget.ts';

const OPTIONS = {ratio: 0.2, windowMilliseconds: 10_000, allowance: 52};

test('all instances together stay within the limit in every window', (t) => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          instance: fc.nat(2),
          step: fc.nat(200),
          isRequest: fc.boolean(),
        }),
        {maxLength: 1500},
      ),
      (events) => {
        const budgets = [0, 1, 2].map(() => createRetryBudget(OPTIONS));
        const requests: number[] = [];
        const retries: number[] = [];
        let now = 0;
        for (const {instance, step, isRequest} of events) {
          now += step;
          if (isRequest) {
            requests.push(now);
            budgets[instance]!.recordRequest('desk', now);
          } else if (budgets[instance]!.tryRetry('desk', now, 3)) {
            retries.push(now);
          }
          const isRecent = (time: number) =>
            time > now - OPTIONS.windowMilliseconds;
          const limit =
            OPTIONS.ratio * requests.filter(isRecent).length +
            OPTIONS.allowance;
          if (retries.filter(isRecent).length > limit) return false;
        }
        return true;
      },
    ),
    {numRuns: 50},
  );
  t.pass();
});

test('retries are available again after the window', (t) => {
  const budget = createRetryBudget({...OPTIONS, allowance: 2});
  t.true(budget.tryRetry('desk', 0, 1));
  t.false(budget.tryRetry('desk', 1, 1));
  t.true(budget.tryRetry('desk', 10_001, 1));
});

test('each service has its own budget', (t) => {
  const budget = createRetryBudget({...OPTIONS, allowance: 2});
  t.true(budget.tryRetry('desk', 0, 1));
  t.true(budget.tryRetry('engine', 0, 1));
});

// Guards against figures that are read once: a reload of the settings left the
// limit of retries as it was at the start.
test('changed figures count for the next retry', (t) => {
  const options = {...OPTIONS, ratio: 0, allowance: 10};
  const budget = createRetryBudget(options);
  const countRetries = (now: number): number => {
    let count = 0;
    while (budget.tryRetry('desk', now, 1)) count += 1;
    return count;
  };
  t.is(countRetries(0), 7);
  options.allowance = 20;
  t.is(countRetries(100), 7);
  options.windowMilliseconds = 50;
  t.is(countRetries(200), 14);
});

test('asking whether a retry is allowed takes none', (t) => {
  const budget = createRetryBudget(OPTIONS);
  let retries = 0;
  while (budget.mayRetry('desk', 0, 3)) {
    t.true(budget.mayRetry('desk', 0, 3));
    t.true(budget.tryRetry('desk', 0, 3));
    retries += 1;
  }
  t.true(retries > 0);
  t.false(budget.tryRetry('desk', 0, 3));
});

test('a retry that was not sent is given back, and not after its window', (t) => {
  const budget = createRetryBudget(OPTIONS);
  while (budget.tryRetry('desk', 0, 3));
  budget.returnRetry('desk', 0, 1);
  t.true(budget.tryRetry('desk', 1, 3));
  t.false(budget.tryRetry('desk', 1, 3));
  const later = OPTIONS.windowMilliseconds + 2;
  while (budget.tryRetry('desk', later, 3));
  budget.returnRetry('desk', 1, later);
  t.false(budget.tryRetry('desk', later, 3));
});
