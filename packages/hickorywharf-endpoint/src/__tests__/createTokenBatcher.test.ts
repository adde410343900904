import test from 'ava';
import {createTokenBatcher} from '../createTokenBatcher.ts';

function createFixture() {
  const handed: string[] = [];
  const scheduled: (() => void)[] = [];
  const batcher = createTokenBatcher({
    onTokens: (attemptId, tokens) =>
      handed.push(`${attemptId}:${tokens.join('')}`),
    schedule: (flush) => scheduled.push(flush),
  });
  return {handed, scheduled, batcher};
}

test('the first tokens go at once, later ones together and in order', (t) => {
  const {handed, scheduled, batcher} = createFixture();
  batcher.add('x', ['a']);
  t.deepEqual(handed, ['x:a']);
  batcher.add('x', ['b']);
  batcher.add('x', ['c', 'd']);
  batcher.add('y', ['1']);
  t.is(scheduled.length, 1);
  scheduled[0]!();
  t.deepEqual(handed, ['x:a', 'y:1', 'x:bcd']);
});

test('an end hands on what is left, once', (t) => {
  const {handed, scheduled, batcher} = createFixture();
  batcher.add('x', ['a']);
  batcher.add('x', ['b']);
  batcher.end('x');
  scheduled[0]!();
  batcher.end('x');
  t.deepEqual(handed, ['x:a', 'x:b']);
});
