import test from 'ava';
import fc from 'fast-check';
import {createFrameCodec} from '../createFrameCodec.ts';

const codec = createFrameCodec();
const roundTrip = (value: unknown): unknown =>
  codec.decode(Buffer.from(codec.encode(value)));

test('a heartbeat fits into a budget of 8 KB/s for 60 peers', (t) => {
  const heartbeat = {
    tag: 'heartbeat',
    leaving: false,
    load: {queued: 1000, running: 100, capacity: 100},
    configurationSequence: 1_000_000,
  };
  // Both ways, twice a second, with a length prefix: 8000 / 60 / 4 - 4.
  t.true(codec.encode(heartbeat).length <= 29 + 4 * 3);
  t.deepEqual(roundTrip(heartbeat), heartbeat);
});

test('arbitrary field names of callers survive encoding and decoding', (t) => {
  const key = fc.oneof(
    fc.constantFrom('tag', 'load', '1', '23', 'tokens', ''),
    fc.string({maxLength: 8}).filter((name) => name !== '__proto__'),
  );
  const {tree} = fc.letrec((tie) => ({
    tree: fc.oneof(
      {maxDepth: 3},
      fc.string(),
      fc.integer(),
      fc.boolean(),
      fc.constant(null),
      fc.array(tie('tree'), {maxLength: 4}),
      fc.dictionary(key, tie('tree'), {maxKeys: 4, noNullPrototype: true}),
    ),
  }));
  fc.assert(
    fc.property(tree, (value) => {
      t.deepEqual(roundTrip(value), value);
    }),
    {seed: 7, numRuns: 500},
  );
});
