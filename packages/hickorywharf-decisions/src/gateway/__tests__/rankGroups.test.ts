import test from 'ava';
import {decideAdmission} from '../decideAdmission.ts';
import {estimateWaits} from '../estimateWaits.ts';
import {forecastByShare} from '../forecastByShare.ts';
import type {PieceGroup} from '../pieceGroup.ts';
import {rankGroups} from '../rankGroups.ts';
import {spreadRetryDelay} from '../spreadRetryDelay.ts';

const CALL = {batch: 10, callMilliseconds: 100, endpoints: 1};

function group(account: string | null, targetAt = 1000): PieceGroup {
  return {
    count: 10,
    isStarted: false,
    priority: 1,
    targetAt,
    deadlineAt: 6000,
    resultBytes: 0,
    workMilliseconds: 10,
    failureDomain: null,
    account,
  };
}

/** Groups of 200 ms each, the last of `small`. */
function createQueue(largeGroups: number, account: string | null = 'large') {
  const large = Array.from({length: largeGroups}, () => group(account));
  return [...large, group(account === null ? null : 'small')];
}

const rank = (queue: PieceGroup[], call = CALL) =>
  rankGroups(queue, 0, call).map((each) => each.group);

test('what one account has beyond its share waits for the others', (t) => {
  const queue = createQueue(9);
  const ranked = rankGroups(queue, 0, CALL);
  // There is room for 1000 ms: one group of the small account, four others.
  t.true(ranked.slice(0, 2).some((each) => each.group === queue[9]));
  t.deepEqual(
    ranked.map((each) => each.rank),
    [...Array(5).fill('timely'), ...Array(5).fill('over')],
  );
});

test('late work beyond the share of its account is dropped first', (t) => {
  const late = createQueue(40).map((each) => ({...each, targetAt: 0}));
  const small = late.at(-1)!;
  const {infeasible} = estimateWaits(late, 0, {
    ...CALL,
    untilFreeMilliseconds: 0,
  });
  t.true(infeasible.length > 0);
  t.false(infeasible.includes(small));
});

test('a queue that can be served whole, or without accounts, keeps its order', (t) => {
  for (const queue of [createQueue(3), createQueue(9, null)]) {
    t.deepEqual(rank(queue), rank(queue, {...CALL, endpoints: 0}));
    const {waits} = estimateWaits(queue, 0, {
      ...CALL,
      untilFreeMilliseconds: 0,
    });
    t.false('overShareMilliseconds' in waits);
  }
});

test('waits tell what is ahead of a call within its share, and beyond it', (t) => {
  const {waits} = estimateWaits(createQueue(9), 0, {
    ...CALL,
    untilFreeMilliseconds: 0,
  });
  t.is(waits.timelyMilliseconds[1], 1000);
  t.is(waits.overShareMilliseconds, 2000);
  t.is(waits.totalMilliseconds, 2000);
});

test('while a call is timely after all work, its account makes no difference', (t) => {
  const base = {timelyMilliseconds: 300, totalMilliseconds: 900};
  const decide = (targetLeftMilliseconds: number, isOver: boolean) => {
    const forecast = forecastByShare({
      targetLeftMilliseconds,
      getForecast: (isOverShare) =>
        isOverShare ? {...base, timelyMilliseconds: 900} : base,
      getStanding: () => ({
        isOver,
        workMilliseconds: 800,
        shareMilliseconds: 200,
      }),
    });
    return decideAdmission({
      forecast,
      overShareMilliseconds: forecast.overShareMilliseconds,
      targetLeftMilliseconds,
      timeLeftMilliseconds: 6000,
    });
  };
  t.is(decide(900, true).tag, 'timely');
  t.is(decide(899, false).tag, 'timely');
  t.is(decide(200, false).tag, 'late');
  // After three quarters of the work, the account has no more than its share.
  const refused = {tag: 'refused', retryAfterMilliseconds: 675} as const;
  t.deepEqual(decide(899, true), refused);
});

test('work that follows an earlier stage is not held back', (t) => {
  const queue = createQueue(9).map((each) => ({...each, hasInputs: true}));
  t.true(rankGroups(queue, 0, CALL).every((each) => each.rank === 'timely'));
});

test('refused callers return spread out, none before the time', (t) => {
  const delays = Array.from({length: 1000}, (_item, index) =>
    spreadRetryDelay(1000, 6000, `request-${index}`),
  );
  t.is(spreadRetryDelay(1000, 6000, 'request-5'), delays[5]!);
  t.is(spreadRetryDelay(1000, 900, 'request-5'), 1000);
  const buckets = new Set(delays.map((delay) => Math.floor(delay / 50)));
  t.deepEqual([...buckets].sort(), [20, 21, 22, 23, 24, 25, 26, 27, 28, 29]);
});
