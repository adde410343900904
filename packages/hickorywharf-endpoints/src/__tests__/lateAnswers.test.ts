import {createServer} from 'node:http';
import test from 'ava';
import type {StageOutput} from 'hickorywharf-types/stageOutput';
import {listenOn} from 'hickorywharf-utils/listenOn';
import {createEngineBackend} from '../createEngineBackend.ts';
import {createPoolBackend} from '../createPoolBackend.ts';
import {createServiceBackend} from '../createServiceBackend.ts';
import {createAttempt} from './createAttempt.ts';

type Attempt = ReturnType<typeof createAttempt>;

/**
 * Starts a server that sends each response a second time at the next request on
 * the same connection, before the response to that request.
 */
async function startStutteringServer(
  formatBody: (requestId: string) => string,
) {
  const repeats = new WeakMap<object, string>();
  const server = createServer((request, response) => {
    let text = '';
    request.on('data', (chunk) => void (text += chunk));
    request.on('end', () => {
      const {requestId} = JSON.parse(text) as {requestId: string};
      const body = formatBody(requestId);
      const repeat = repeats.get(request.socket);
      if (repeat !== undefined) request.socket.write(repeat);
      repeats.set(
        request.socket,
        `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      );
      response.writeHead(200, {'Content-Length': body.length}).end(body);
    });
  });
  const port = await listenOn(server, {host: '127.0.0.1', port: 0});
  return {
    url: `http://127.0.0.1:${port}`,
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}

interface BackendCase {
  readonly kind: Attempt['kind'];
  readonly create: typeof createPoolBackend;
  /** The body of a response that tells the request it is for. */
  formatBody(requestId: string): string;
  /** The request that an output is for. */
  getRequestId(output: StageOutput, tokens: readonly string[]): unknown;
}

const CASES: Readonly<Record<string, BackendCase>> = {
  'a pool': {
    kind: 'retrieve',
    create: createPoolBackend,
    formatBody: (requestId) => JSON.stringify({documents: [requestId]}),
    getRequestId: (output) =>
      output.kind === 'retrieve' ? output.documents[0] : null,
  },
  'a service': {
    kind: 'call',
    create: createServiceBackend,
    formatBody: (requestId) => JSON.stringify({requestId}),
    getRequestId: (output) =>
      output.kind === 'call' ? output.response['requestId'] : null,
  },
  'an engine': {
    kind: 'generate',
    create: createEngineBackend,
    formatBody: (requestId) =>
      [{tokens: [requestId]}, {finished: {count: 1, cachedTokens: 0}}]
        .map((event) => `data: ${JSON.stringify(event)}\n\n`)
        .join(''),
    getRequestId: (_output, tokens) => tokens[0],
  },
};

for (const [name, backendCase] of Object.entries(CASES)) {
  const {kind, create, formatBody, getRequestId} = backendCase;
  test(`the late second answer of ${name} is not taken for the answer to the next call`, async (t) => {
    const server = await startStutteringServer(formatBody);
    t.teardown(server.close);
    const backend = create(server.url);
    for (const requestId of ['a', 'b', 'c']) {
      const tokens: string[] = [];
      const run = await backend.run({
        attempt: createAttempt(requestId, kind),
        remainingMilliseconds: 1000,
        onTokens: (group) => void tokens.push(...group),
        signal: new AbortController().signal,
      });
      t.is(getRequestId(run._unsafeUnwrap(), tokens), requestId);
    }
  });
}

test('a stream of an engine that breaks off does not go on with a second answer', async (t) => {
  const formatTokens = (token: string) =>
    `data: ${JSON.stringify({tokens: [token]})}\n\n`;
  const end = `data: ${JSON.stringify({finished: {count: 2, cachedTokens: 0}})}\n\n`;
  const head = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n';
  const first = head + formatTokens('a');
  const server = createServer((_request, {socket}) =>
    socket?.end(first + first + formatTokens('b') + end),
  );
  const port = await listenOn(server, {host: '127.0.0.1', port: 0});
  t.teardown(() => server.close());
  const tokens: string[] = [];
  const result = await createEngineBackend(`http://127.0.0.1:${port}`).run({
    attempt: createAttempt('a', 'generate'),
    remainingMilliseconds: 1000,
    onTokens: (added) => void tokens.push(...added),
    signal: new AbortController().signal,
  });
  t.true(result.isErr(), `${tokens.join(' ')} passed as whole`);
});
