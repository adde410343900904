import {createServer, type ServerResponse} from 'node:http';
import test, {type ExecutionContext} from 'ava';
import {listenOn} from 'hickorywharf-utils/listenOn';
import {sleep} from 'hickorywharf-utils/sleep';
import {backendKinds} from '../backendKinds.ts';
import {createAttempt} from './createAttempt.ts';

type Respond = (response: ServerResponse, body: string) => unknown;

const SILENCE_MILLISECONDS = 1500;
/** Time for bytes to arrive before the end of their connection. */
const ENDING_DELAY_MILLISECONDS = 20;

/** The kind of stage that a backend runs, and the body of its whole answer. */
const CASES = {
  pool: {stage: 'retrieve', body: JSON.stringify({documents: ['a']})},
  service: {stage: 'call', body: JSON.stringify({done: true})},
  engine: {
    stage: 'generate',
    body: [{tokens: ['a']}, {finished: {count: 1, cachedTokens: 0}}]
      .map((event) => `data: ${JSON.stringify(event)}\n\n`)
      .join(''),
  },
} as const;
const KINDS = ['pool', 'service', 'engine'] as const;

async function runAttempt(
  t: ExecutionContext,
  kind: keyof typeof CASES,
  respond: Respond,
) {
  const {stage, body} = CASES[kind];
  const server = createServer((request, response) => {
    request.resume();
    request.on('end', () => respond(response, body));
  });
  const port = await listenOn(server, {host: '127.0.0.1', port: 0});
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return backendKinds[kind](`http://127.0.0.1:${port}`).run({
    attempt: createAttempt('a', stage),
    remainingMilliseconds: 5000,
    onTokens: () => undefined,
    signal: new AbortController().signal,
  });
}

const ENDINGS = {
  closes: ({socket}: ServerResponse) => void socket?.end(),
  resets: ({socket}: ServerResponse) => void socket?.resetAndDestroy(),
};

/** The bytes of a successful answer before it breaks off. */
const STARTS: Readonly<Record<string, (body: string) => string>> = {
  'its status line': () => 'HTTP/1.1 20',
  'its head': () => 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n',
  'the end of its head': () => 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r',
  'its body': (body) => `HTTP/1.1 200 OK\r\n\r\n${body.slice(0, -4)}`,
  'its body with a length': (body) =>
    `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body.slice(0, -4)}`,
  'its chunk': (body) =>
    `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body.slice(0, -4)}`,
  'its empty body': () => 'HTTP/1.1 200 OK\r\n\r\n',
};

for (const kind of KINDS) {
  for (const [ending, end] of Object.entries(ENDINGS)) {
    test(`an answer of a backend of kind ${kind} that stops before it ${ending} is none, and may have run`, async (t) => {
      for (const [place, getStart] of Object.entries(STARTS)) {
        const run = await runAttempt(t, kind, (response, body) => {
          response.socket?.write(getStart(body));
          setTimeout(() => end(response), ENDING_DELAY_MILLISECONDS);
        });
        const {tag, outcome} = run._unsafeUnwrapErr();
        t.deepEqual([tag, outcome], ['broken', 'unknown'], place);
      }
    });
  }

  test(`a refusal of a backend of kind ${kind}, also one that comes again, does not tell that nothing has run`, async (t) => {
    for (const status of [408, 409, 421, 429, 500, 503]) {
      const refusal = `HTTP/1.1 ${status} Refused\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`;
      const run = await runAttempt(t, kind, (response, body) => {
        response.socket?.write(refusal + refusal);
        setTimeout(() => response.end(body), ENDING_DELAY_MILLISECONDS);
      });
      t.is(run._unsafeUnwrapErr().outcome, 'unknown', `${status}`);
    }
  });

  for (const [place, respond] of Object.entries({
    'before its answer': async (response: ServerResponse, body: string) => {
      await sleep(SILENCE_MILLISECONDS);
      response.end(body);
    },
    'within its answer': async (response: ServerResponse, body: string) => {
      response.write(body.slice(0, 4));
      await sleep(SILENCE_MILLISECONDS);
      response.end(body.slice(4));
    },
  })) {
    test(`a backend of kind ${kind} that is silent ${place} is waited for`, async (t) => {
      const run = await runAttempt(t, kind, respond);
      t.true(run.isOk());
    });
  }
}

/** Bodies of answers with status 200 that are no output. */
const FOREIGN_BODIES = {
  pool: ['null', '[]', '{}', '{"documents":[1]}', '{"error":"none"}'],
  service: ['null', '[]', '"text"', '1'],
  engine: [
    'data: {"tokens":"ab"}\n\n',
    'data: {"tokens":[1]}\n\n',
    'data: null\n\n',
    'data: {"finished":{}}\n\n',
    'data: {"finished":{"count":"1","cachedTokens":0}}\n\n',
  ],
} as const;

for (const kind of KINDS) {
  test(`a body of a backend of kind ${kind} that is no output fails its attempt alone`, async (t) => {
    for (const body of FOREIGN_BODIES[kind]) {
      const run = await runAttempt(t, kind, (response) =>
        response.end(body + (kind === 'engine' ? CASES.engine.body : '')),
      );
      if (run.isOk()) t.fail(`${body} became ${JSON.stringify(run.value)}`);
      else t.is(run.error.outcome, 'unknown', body);
    }
  });
}
