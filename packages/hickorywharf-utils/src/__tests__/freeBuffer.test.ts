import test from 'ava';
import {freeBuffer} from '../freeBuffer.ts';

test('the memory of a buffer is free at once', (t) => {
  const block = Buffer.allocUnsafeSlow(65_536);
  freeBuffer(block);
  t.is(block.length, 0);
  freeBuffer(block);
  t.is(block.length, 0);
});

test('a buffer that shares its memory is left as it is', (t) => {
  const block = Buffer.alloc(65_536, 'x');
  const part = block.subarray(1);
  freeBuffer(part);
  t.is(part.toString(), 'x'.repeat(65_535));
});
