import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import type {Backend} from '../backend.ts';
import {BACKEND_LIMITS} from '../backendLimits.ts';
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
