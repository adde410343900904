import {connect} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import type {EntryEvent} from 'hickorywharf-decisions/entry/entryEvent';
import {sleep} from 'hickorywharf-utils/sleep';
import {request} from 'undici';
import {createMemoryBudget} from 'hickorywharf-gateway/createMemoryBudget';
import {createHttpApplication} from '../createHttpApplication.ts';
import {createHttpServer} from '../createHttpServer.ts';

type Arrival = Extract<EntryEvent, {tag: 'requestArrived'}>;

const ADDRESS = '127.0.0.1';
const PATH = '/v1/pipelines/note/requests';
const BODY_BYTES = 4096;
const JSON_TYPE = {'content-type': 'application/json'};

/** Starts a server that answers every request that passes validation. */
async function openServer(t: ExecutionContext) {
  const arrivals: Arrival[] = [];
  const errors: Error[] = [];
  const application = createHttpApplication({
    maximumBodyBytes: BODY_BYTES,
    memory: createMemoryBudget({maximumBytes: 100 * BODY_BYTES, now: () => 0}),
    createRequestId: () => 'request-1',
    getUnreadyReason: () => null,
    submit(arrival, responder) {
      arrivals.push(arrival);
      responder.answer([]);
    },
    onCallerGone: () => undefined,
    onError: (error) => void errors.push(error),
  });
  const server = await createHttpServer({
    fetch: application.fetch,
    address: ADDRESS,
    port: 0,
    maximumConnections: 100,
  });
  t.teardown(() => server.stopListening());
  return {port: server.port, arrivals, errors};
}

interface BadInput {
  readonly title: string;
  readonly path?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly status: number;
  readonly type: string;
}

const VALID_BODY = '{"text":"a reel"}';
const BAD_INPUTS: readonly BadInput[] = [
  {title: 'no JSON', body: '{', status: 400, type: 'invalidRequest'},
  {title: 'no object', body: '[]', status: 400, type: 'invalidRequest'},
  {
    title: 'an unknown field',
    body: '{"text":"a","texts":"b"}',
    status: 400,
    type: 'invalidRequest',
  },
  {
    title: 'no text',
    body: '{"parameters":{}}',
    status: 400,
    type: 'invalidRequest',
  },
  {
    title: 'great depth',
    body: `{"text":"a","parameters":${'{"a":'.repeat(500)}1${'}'.repeat(501)}`,
    status: 400,
    type: 'invalidRequest',
  },
  {
    title: 'too many tokens',
    body: '{"text":"a","maximumTokens":1e9}',
    status: 400,
    type: 'invalidRequest',
  },
  {
    title: 'a body over the limit',
    body: JSON.stringify({text: 'x'.repeat(BODY_BYTES)}),
    status: 413,
    type: 'bodyTooLarge',
  },
  {
    title: 'another content type',
    headers: {'content-type': 'text/plain'},
    status: 415,
    type: 'unsupportedMediaType',
  },
  ...['0', '-1', 'soon', '1e3', '99999999999'].map((deadline) => ({
    title: `a deadline of ${deadline}`,
    headers: {'request-deadline-milliseconds': deadline},
    status: 400,
    type: 'invalidRequest',
  })),
  {
    title: 'an idempotency key that is too long',
    headers: {'idempotency-key': 'k'.repeat(256)},
    status: 400,
    type: 'invalidRequest',
  },
  {title: 'another path', path: '/v2', status: 404, type: 'unknownPath'},
  {
    title: 'headers over the limit',
    headers: {'call-id': 'x'.repeat(20_000)},
    status: 431,
    type: 'invalidRequest',
  },
];

for (const bad of BAD_INPUTS) {
  test(`${bad.title} is refused with a problem document`, async (t) => {
    const {port, arrivals, errors} = await openServer(t);
    const url = `http://${ADDRESS}:${port}${bad.path ?? PATH}`;
    const {statusCode, headers, body} = await request(url, {
      method: 'POST',
      headers: {...JSON_TYPE, ...bad.headers},
      body: bad.body ?? VALID_BODY,
    });
    t.is(statusCode, bad.status);
    t.is(headers['content-type'], 'application/problem+json');
    t.like(await body.json(), {
      type: `urn:hickorywharf:problem:${bad.type}`,
      status: bad.status,
      outcome: 'notRun',
      retryable: false,
    });
    t.is(arrivals.length + errors.length, 0);
  });
}

test('invalid traceparent and authorization headers are treated as absent', async (t) => {
  const {port, arrivals} = await openServer(t);
  const {statusCode, body} = await request(`http://${ADDRESS}:${port}${PATH}`, {
    method: 'POST',
    headers: {
      ...JSON_TYPE,
      traceparent: 'x'.repeat(5000),
      authorization: 'Basic abc',
    },
    body: VALID_BODY,
  });
  await body.dump();
  t.is(statusCode, 200);
  t.like(arrivals[0], {traceparent: null, keyHash: ''});
});

test('any body and any header leads to an answer or a problem document', async (t) => {
  const {port, errors} = await openServer(t);
  const header = fc.string({unit: 'grapheme-ascii', maxLength: 40});
  await fc.assert(
    fc.asyncProperty(
      fc.oneof(fc.json(), fc.string()),
      fc.dictionary(
        fc.constantFrom(
          'idempotency-key',
          'request-deadline-milliseconds',
          'traceparent',
          'authorization',
          'accept',
        ),
        header.map((value) => value.trim()),
      ),
      async (body, headers) => {
        const reply = await request(`http://${ADDRESS}:${port}${PATH}`, {
          method: 'POST',
          headers: {...JSON_TYPE, ...headers},
          body,
        });
        await reply.body.dump();
        return [200, 400].includes(reply.statusCode);
      },
    ),
    {seed: 3, numRuns: 400},
  );
  t.is(errors.length, 0);
});

function exchangeBytes(port: number, bytes: Uint8Array): Promise<string> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const socket = connect(port, ADDRESS);
    socket.on('error', () => socket.destroy());
    socket.on('data', (chunk) => chunks.push(chunk));
    socket.on('close', () => resolve(Buffer.concat(chunks).toString()));
    socket.end(bytes);
  });
}

test('bytes that are not HTTP are answered with 400, and serving continues', async (t) => {
  const {port} = await openServer(t);
  t.regex(
    await exchangeBytes(port, Buffer.from('nonsense\r\n\r\n')),
    /^HTTP\/1\.1 400 .*problem\+json/s,
  );
  await fc.assert(
    fc.asyncProperty(
      fc.uint8Array({minLength: 1, maxLength: 300}),
      async (bytes) => {
        const answer = await exchangeBytes(port, bytes);
        return answer === '' || /^HTTP\/1\.1 4/.test(answer);
      },
    ),
    {seed: 3, numRuns: 200},
  );
  const {statusCode, body} = await request(
    `http://${ADDRESS}:${port}/health/live`,
  );
  await body.dump();
  t.is(statusCode, 200);
});

test('bytes that are not HTTP, behind a request, are not answered in its place', async (t) => {
  const server = await createHttpServer({
    async fetch() {
      await sleep(50);
      return new Response('the answer');
    },
    address: ADDRESS,
    port: 0,
    maximumConnections: 100,
  });
  t.teardown(() => server.stopListening());
  const text = await new Promise<string>((resolve) => {
    let received = '';
    const socket = connect(server.port, ADDRESS);
    socket.on('data', (chunk) => void (received += chunk.toString()));
    socket.on('close', () => resolve(received));
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\nnonsense\r\n\r\n');
  });
  t.regex(text, /^HTTP\/1\.1 200 OK\r\n[^]*\r\n\r\nthe answer$/);
});
