import test from 'ava';
import {createTokenBatcher} from '../createTokenBatcher.ts';

function createFixture() {
  const flushed: string[] = [];
  const scheduled: (() => void)[] = [];
  const batcher = createTokenBatcher({
    onTokens: (attemptId, tokens) =>
      flushed.push(`${attemptId}:${tokens.join('')}`),
    schedule: (flush) => scheduled.push(flush),
  });
  return {flushed, scheduled, batcher};
}

test('the first tokens are passed on at once, later ones batched and in order', (t) => {
  const {flushed, scheduled, batcher} = createFixture();
  batcher.add('x', ['a']);
  t.deepEqual(flushed, ['x:a']);
  batcher.add('x', ['b']);
  batcher.add('x', ['c', 'd']);
  batcher.add('y', ['1']);
  t.is(scheduled.length, 1);
  scheduled[0]!();
  t.deepEqual(flushed, ['x:a', 'y:1', 'x:bcd']);
});

test('ending an attempt flushes its remaining tokens once', (t) => {
  const {flushed, scheduled, batcher} = createFixture();
  batcher.add('x', ['a']);
  batcher.add('x', ['b']);
  batcher.end('x');
  scheduled[0]!();
  batcher.end('x');
  t.deepEqual(flushed, ['x:a', 'x:b']);
});
