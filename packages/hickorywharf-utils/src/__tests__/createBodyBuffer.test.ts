import test from 'ava';
import fc from 'fast-check';
import {createBodyBuffer} from '../createBodyBuffer.ts';

test('a body is the same however it is split', (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.uint8Array({maxLength: 40_000}), {maxLength: 6}),
      fc.nat(20_000),
      (parts, repeats) => {
        const chunks = parts.map((part) => Buffer.from(part));
        for (let index = 0; index < repeats; index += 1) {
          chunks.push(Buffer.from([index % 256]));
        }
        const whole = Buffer.concat(chunks);
        const body = createBodyBuffer(whole.length);
        const isAccepted = chunks.every((chunk) => body.append(chunk));
        return isAccepted && body.toBuffer().equals(whole);
      },
    ),
    {numRuns: 30},
  );
  t.pass();
});

test('a body over its limit is not collected', (t) => {
  const body = createBodyBuffer(4);
  t.true(body.append(Buffer.from('abc')));
  t.false(body.append(Buffer.from('de')));
  t.true(body.append(Buffer.from('d')));
  t.is(body.toBuffer().toString(), 'abcd');
});
