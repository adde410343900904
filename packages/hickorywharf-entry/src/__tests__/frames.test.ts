import test from 'ava';
import fc from 'fast-check';
import {createEndpointCore} from 'hickorywharf-decisions/endpoint/createEndpointCore';
import {createEntryCore} from 'hickorywharf-decisions/entry/createEntryCore';
import type {Frame} from 'hickorywharf-types/frame';
import {createFrameReader} from 'hickorywharf-transport/createFrameReader';
import {encodeFrame} from 'hickorywharf-transport/encodeFrame';

const KEY = {requestId: 'r', stageIndex: 0, attemptId: 'a'};
const IDENTITY = {name: 'e', incarnation: 'i', failureDomain: 'd'};
const FRAMES: readonly Frame[] = [
  {
    tag: 'hello',
    protocolMinimum: 1,
    protocolMaximum: 1,
    identity: {...IDENTITY, role: 'entry'},
  },
  {
    tag: 'attempt',
    ...KEY,
    kind: 'generate',
    pool: 'engines',
    idempotent: false,
    half: null,
    account: 'desk',
    accountWeight: 1,
    remainingMilliseconds: 1000,
    laterMilliseconds: 0,
    input: {text: 'a reel', continuation: ['t']},
    idempotencyKey: '018f3b1c-0000-7000-8000-000000000000',
    bodyDigest: 'b',
    traceparent: null,
  },
  {tag: 'tokens', ...KEY, position: 0, tokens: ['t']},
  {
    tag: 'result',
    ...KEY,
    output: {kind: 'generate', tokens: [], tokenCount: 1, cachedTokens: 0},
    queuedMilliseconds: 0,
    backendMilliseconds: 1,
  },
  {tag: 'refused', ...KEY, reason: 'leaving', message: ''},
  {tag: 'failed', ...KEY, outcome: 'unknown', conflict: false, message: ''},
  {tag: 'tombstone', ...KEY},
  {tag: 'tombstoned', ...KEY, state: 'begun'},
  {tag: 'recover', ...KEY, fromPosition: 0},
  {
    tag: 'heartbeat',
    leaving: false,
    load: {queued: 0, running: 0, capacity: 1},
    configurationSequence: 0,
  },
];

/** A valid frame in which one value, at any depth, is replaced. */
function alter(
  value: unknown,
  path: readonly number[],
  replacement: unknown,
): unknown {
  const [choice, ...rest] = path;
  if (choice === undefined || typeof value !== 'object' || value === null) {
    return replacement;
  }
  const names = Object.keys(value);
  if (names.length === 0) return replacement;
  const name = names[choice % names.length]!;
  const inner = (value as Record<string, unknown>)[name];
  return {...value, [name]: alter(inner, rest, replacement)};
}

function createCores() {
  return {
    entry: createEntryCore({
      failureDomain: 'd',
      incarnation: 'i',
      routingPolicy: 'twoChoices',
      homePartitionCount: 4,
      maximumRequests: 10,
      random: () => 0,
    }),
    endpoint: createEndpointCore({
      name: 'e',
      incarnation: 'i',
      slots: 1,
      queueOrder: 'slack',
      maximumQueueLength: 10,
      retentionMilliseconds: 1000,
      retentionBytes: 100_000,
      homePartitionCount: 4,
      maximumSkewMilliseconds: Number.MAX_SAFE_INTEGER,
    }),
  };
}

test('an altered frame is refused by the reader or handled by both cores', (t) => {
  const {entry, endpoint} = createCores();
  let refused = 0;
  let handled = 0;
  fc.assert(
    fc.property(
      fc.constantFrom(...FRAMES),
      fc.array(fc.nat(20), {minLength: 1, maxLength: 3}),
      fc.anything(),
      (frame, path, replacement) => {
        const altered = alter(frame, path, replacement) as Frame;
        const read = createFrameReader('peer').read(encodeFrame(altered));
        if (read.isErr()) {
          refused += 1;
          return;
        }
        for (const valid of read.value) {
          handled += 1;
          entry.handle({tag: 'frameArrived', endpoint: 'e', frame: valid}, 1);
          endpoint.handle({tag: 'frameArrived', peer: 'e', frame: valid}, 1);
        }
      },
    ),
    {seed: 5, numRuns: 3000},
  );
  t.true(
    refused > 500 && handled > 100,
    `${refused} refused, ${handled} handled`,
  );
});

test('a frame with changed or split bytes never throws', (t) => {
  fc.assert(
    fc.property(
      fc.constantFrom(...FRAMES),
      fc.array(fc.tuple(fc.nat(), fc.integer({min: 0, max: 255})), {
        minLength: 1,
        maxLength: 4,
      }),
      fc.nat(),
      (frame, changes, cut) => {
        const bytes = encodeFrame(frame);
        for (const [index, byte] of changes) bytes[index % bytes.length] = byte;
        const reader = createFrameReader('peer');
        const end = cut % bytes.length;
        const first = reader.read(bytes.subarray(0, end));
        if (first.isOk()) reader.read(bytes.subarray(end));
      },
    ),
    {seed: 5, numRuns: 3000},
  );
  t.pass();
});

test('deeply nested CBOR and false lengths are errors', (t) => {
  const bodies = [
    Buffer.alloc(1_000_000, 0x81),
    Buffer.from([0x9b, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff]),
    Buffer.from([0x7b, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff]),
    Buffer.from([0xbb, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff]),
  ];
  for (const body of bodies) {
    const length = Buffer.alloc(4);
    length.writeUInt32BE(body.length, 0);
    const read = createFrameReader('peer').read(Buffer.concat([length, body]));
    t.is(read._unsafeUnwrapErr().tag, 'malformedFrame');
  }
});
