import {createServer, type Server} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {sleep} from 'hickorywharf-utils/sleep';
import {createTracer} from '../createTracer.ts';

const POLL_MILLISECONDS = 20;
const TRACE = '4bf92f3577b34da6a3ce929d0e0e4736';
const PARENT = `00-${TRACE}-00f067aa0ba902b7-01`;
const identity = {
  name: 'entry-1',
  role: 'entry',
  failureDomain: 'domain-1',
} as const;
const attributes = {request: 'r-1', pipeline: 'loan-summary'};

interface ExportedSpan {
  readonly name: string;
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId: string;
}

async function listen(server: Server): Promise<string> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  return `http://127.0.0.1:${port}/v1/traces`;
}

/** Polls until the condition holds; the timeout of the test ends it if not. */
async function waitFor(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await sleep(POLL_MILLISECONDS);
}

async function createCollector() {
  const spans: ExportedSpan[] = [];
  const server = createServer(async (request, response) => {
    const parts: Buffer[] = [];
    for await (const part of request) parts.push(part as Buffer);
    const body = JSON.parse(Buffer.concat(parts).toString());
    for (const {scopeSpans} of body.resourceSpans) {
      for (const scope of scopeSpans) spans.push(...scope.spans);
    }
    response.end('{}');
  });
  return {spans, server, url: await listen(server)};
}

test("spans continue the caller's trace, each as child of the one before", async (t) => {
  const {spans, server, url} = await createCollector();
  const tracer = await createTracer({url, identity});
  const request = tracer.start('entry.request', PARENT, attributes);
  const attempt = tracer.start('entry.attempt', request.traceparent, {
    request: 'r-1',
    attempt: 'a-1',
    stage: 'encode',
    peer: 'encoder-1',
  });
  attempt.end('refused');
  request.end();
  await waitFor(() => spans.length === 2);
  await tracer.close();
  server.close();
  const outer = spans.find(({name}) => name === 'entry.request')!;
  const inner = spans.find(({name}) => name === 'entry.attempt')!;
  t.is(outer.traceId, TRACE);
  t.is(outer.parentSpanId, '00f067aa0ba902b7');
  t.is(inner.traceId, TRACE);
  t.is(inner.parentSpanId, outer.spanId);
});

test('a malformed trace context starts a new trace', async (t) => {
  const {spans, server, url} = await createCollector();
  const tracer = await createTracer({url, identity});
  const malformed = PARENT.replace('00-', 'ff-');
  tracer.start('entry.request', malformed, attributes).end();
  await waitFor(() => spans.length === 1);
  await tracer.close();
  server.close();
  t.is(spans.length, 1);
  t.not(spans[0]!.traceId, TRACE);
});

test('without a collector in the settings the trace context is propagated', async (t) => {
  const tracer = await createTracer({url: '', identity});
  const start = (header: string | null) =>
    tracer.start('entry.request', header, attributes).traceparent;
  t.is(start(PARENT), PARENT);
  t.is(start('reel\t7'), null);
  t.is(start(null), null);
});

const UNAVAILABLE_COLLECTORS: Readonly<
  Record<string, () => Promise<readonly [string, Server?]>>
> = {
  'refuses connections': async () => ['http://127.0.0.1:9/v1/traces'],
  'never responds': async () => {
    const server = createServer(() => undefined);
    return [await listen(server), server];
  },
};

for (const [what, create] of Object.entries(UNAVAILABLE_COLLECTORS)) {
  test(`a collector that ${what} loses spans and blocks nothing`, async (t) => {
    const [url, server] = await create();
    const tracer = await createTracer({url, identity});
    for (let count = 0; count < 10_000; count += 1) {
      tracer.start('entry.request', PARENT, attributes).end();
    }
    await tracer.close();
    server?.closeAllConnections();
    server?.close();
    t.pass();
  });
}
