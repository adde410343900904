import test from 'ava';
import fc from 'fast-check';
import {createFrameReader} from '../createFrameReader.ts';
import {encodeFrame} from '../encodeFrame.ts';

test('frames are read completely, however the bytes are split', (t) => {
  const frames = [1, 2, 3].map((afterSequence) => ({
    tag: 'fetchConfiguration' as const,
    afterSequence,
  }));
  const bytes = Buffer.concat(frames.map(encodeFrame));
  fc.assert(
    fc.property(fc.integer({min: 1, max: bytes.length}), (size) => {
      const reader = createFrameReader('peer');
      const read = [];
      for (let start = 0; start < bytes.length; start += size) {
        const part = reader.read(bytes.subarray(start, start + size));
        read.push(...part._unsafeUnwrap());
      }
      return JSON.stringify(read) === JSON.stringify(frames);
    }),
    {seed: 7},
  );
  t.pass();
});

test('garbage gives an error, never a frame or an exception', (t) => {
  fc.assert(
    fc.property(fc.uint8Array({minLength: 1, maxLength: 200}), (garbage) => {
      const body = Buffer.from(garbage);
      const length = Buffer.alloc(4);
      length.writeUInt32BE(body.length, 0);
      const read = createFrameReader('peer').read(
        Buffer.concat([length, body]),
      );
      return read.isErr();
    }),
    {seed: 7, numRuns: 500},
  );
  t.pass();
});

test('a frame that exceeds the limit is refused before its body is read', (t) => {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(0xffffffff, 0);
  const read = createFrameReader('peer').read(length);
  t.is(read._unsafeUnwrapErr().tag, 'frameTooLarge');
});
