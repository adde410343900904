import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import type {Backend} from '../backend.ts';
import {BACKEND_LIMITS} from '../backendLimits.ts';
import {createEngineBackend} from '../createEngineBackend.ts';
import {createPoolBackend} from '../createPoolBackend.ts';
import {createServiceBackend} from '../createServiceBackend.ts';

const ATTEMPT: Parameters<Backend['run']>[0]['attempt'] = {
  tag: 'attempt',
  requestId: 'r',
  stageIndex: 0,
  attemptId: 'a',
  kind: 'retrieve',
  pool: 'pool',
  idempotent: true,
  half: null,
  account: 'desk',
  accountWeight: 1,
  remainingMilliseconds: 1000,
  laterMilliseconds: 0,
  input: {text: 'a reel'},
  idempotencyKey: null,
  bodyDigest: null,
  traceparent: null,
};

for (const [name, create] of [
  ['pool', createPoolBackend],
  ['service', createServiceBackend],
] as const) {
  test(`a ${name} response over the size limit is broken, outcome unknown`, async (t) => {
    const server = createServer((_incoming, outgoing) => {
      const document = 'x'.repeat(BACKEND_LIMITS.maximumResponseBytes);
      outgoing.end(JSON.stringify({documents: [document]}));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, '127.0.0.1', resolve),
    );
    t.teardown(() => server.close());
    const {port} = server.address() as AddressInfo;
    const run = await create(`http://127.0.0.1:${port}`).run({
      attempt: ATTEMPT,
      remainingMilliseconds: 1000,
      onTokens: () => undefined,
      signal: new AbortController().signal,
    });
    t.like(run._unsafeUnwrapErr(), {tag: 'broken', outcome: 'unknown'});
  });
}

/** What an engine here sends at most; the limits have to stop it earlier. */
const OFFERED_BYTES = 64_000_000;

/** Writes a part again and again until the connection is closed. */
async function writeEndlessly(
  response: ServerResponse,
  part: string,
): Promise<number> {
  let bytes = 0;
  let isClosed = false;
  let wake = (): void => undefined;
  response.on('drain', () => wake());
  response.on('close', () => {
    isClosed = true;
    wake();
  });
  while (!isClosed && bytes < OFFERED_BYTES) {
    bytes += part.length;
    const drained = new Promise<void>((resolve) => (wake = resolve));
    if (!response.write(part)) await drained;
  }
  return bytes;
}

// Guards against an engine whose stream fills the memory of its endpoint.
for (const [name, part] of Object.entries({
  'an event': 'x'.repeat(16_384),
  'empty lines': '\n'.repeat(16_384),
  events: `data: {"tokens":["a"]}\n\n`.repeat(600),
})) {
  test(`an engine's stream of ${name} without end is broken, outcome unknown`, async (t) => {
    let written: Promise<number> | undefined;
    const server = createServer((_incoming, outgoing) => {
      outgoing.write('data: {"tokens":["a"]}\n\n');
      written = writeEndlessly(outgoing, part);
    });
    await new Promise<void>((resolve) =>
      server.listen(0, '127.0.0.1', resolve),
    );
    t.teardown(() => {
      server.closeAllConnections();
      server.close();
    });
    const {port} = server.address() as AddressInfo;
    const run = await createEngineBackend(`http://127.0.0.1:${port}`).run({
      attempt: {...ATTEMPT, kind: 'generate'},
      remainingMilliseconds: 1000,
      onTokens: () => undefined,
      signal: AbortSignal.timeout(10_000),
    });
    t.like(run._unsafeUnwrapErr(), {tag: 'broken', outcome: 'unknown'});
    const bytes = await written!;
    t.true(bytes < OFFERED_BYTES / 2, `${bytes} bytes`);
  });
}
