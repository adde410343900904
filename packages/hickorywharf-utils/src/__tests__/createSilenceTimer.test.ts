import test from 'ava';
import {createSilenceTimer} from '../createSilenceTimer.ts';
import {sleep} from '../sleep.ts';

function createTimer() {
  const startedAt = performance.now();
  const firedAfter: number[] = [];
  const timer = createSilenceTimer(
    () => void firedAfter.push(performance.now() - startedAt),
  );
  return {timer, firedAfter};
}

function block(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}

test.serial('a silence is reported once, after its time', async (t) => {
  const {timer, firedAfter} = createTimer();
  timer.restart(60);
  await sleep(400);
  t.is(firedAfter.length, 1);
  t.true(firedAfter[0]! >= 59);
});

test.serial('messages put the end of the silence off', async (t) => {
  const {timer, firedAfter} = createTimer();
  for (let messages = 0; messages < 5; messages += 1) {
    timer.restart(300);
    await sleep(50);
  }
  t.deepEqual(firedAfter, []);
  await sleep(700);
  t.is(firedAfter.length, 1);
  t.true(firedAfter[0]! >= 499);
});

test.serial(
  'a shorter time ends earlier than a longer one before',
  async (t) => {
    const {timer, firedAfter} = createTimer();
    timer.restart(10_000);
    timer.restart(50);
    await sleep(400);
    t.is(firedAfter.length, 1);
  },
);

test.serial(
  'a stopped timer reports nothing, and may be started again',
  async (t) => {
    const {timer, firedAfter} = createTimer();
    timer.restart(40);
    timer.stop();
    await sleep(200);
    t.deepEqual(firedAfter, []);
    timer.restart(40);
    await sleep(300);
    t.is(firedAfter.length, 1);
  },
);

test.serial(
  'a message that waits while the event loop is blocked counts',
  async (t) => {
    const {timer, firedAfter} = createTimer();
    timer.restart(100);
    // Runs after the timers of the same turn, as the reading of sockets does.
    setTimeout(() => setImmediate(() => timer.restart(1000)), 90);
    block(250);
    await sleep(400);
    t.deepEqual(firedAfter, []);
    timer.stop();
  },
);
