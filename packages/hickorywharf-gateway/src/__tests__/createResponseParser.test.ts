import test from 'ava';
import fc from 'fast-check';
import {createResponseParser} from '../createResponseParser.ts';

interface Reading {
  status: number | null;
  headers: readonly string[];
  body: string;
  isEnded: boolean;
  isAccepted: boolean;
  isComplete: boolean;
}

function readAll(chunks: readonly Buffer[], isHeadRequest = false): Reading {
  const reading: Reading = {
    status: null,
    headers: [],
    body: '',
    isEnded: false,
    isAccepted: true,
    isComplete: false,
  };
  const reader = createResponseParser(
    {
      onHead(status, headers) {
        reading.status = status;
        reading.headers = headers;
      },
      onBody: (bytes) => void (reading.body += bytes.toString('latin1')),
      onEnd: () => void (reading.isEnded = true),
    },
    isHeadRequest,
  );
  for (const chunk of chunks) {
    if (!reader.read(chunk)) reading.isAccepted = false;
  }
  reading.isComplete = reading.isAccepted && reader.finish();
  return reading;
}

const read = (text: string) => readAll([Buffer.from(text, 'latin1')]);

test('reads a body with a length', (t) => {
  const {status, body, isEnded} = read(
    'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc',
  );
  t.deepEqual(
    {status, body, isEnded},
    {status: 200, body: 'abc', isEnded: true},
  );
});

test('an answer shorter than its length is not complete', (t) => {
  t.false(read('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc').isComplete);
});

test('chunks without their last one are not complete', (t) => {
  const head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
  t.false(read(`${head}3\r\nabc\r\n`).isComplete);
  t.true(read(`${head}3\r\nabc\r\n0\r\n\r\n`).isComplete);
});

test('an answer without a length ends with its connection', (t) => {
  const {isEnded, isComplete, body} = read('HTTP/1.1 200 OK\r\n\r\nabc');
  t.true(isComplete && isEnded);
  t.is(body, 'abc');
});

test('skips interim answers', (t) => {
  t.is(
    read(
      'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n',
    ).status,
    201,
  );
});

test('bytes after a whole answer are refused', (t) => {
  t.false(
    read('HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1').isAccepted,
  );
});

for (const [name, text] of Object.entries({
  'two lengths':
    'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na',
  'a length beside chunks':
    'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na',
  'another coding': 'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\na',
  'a folded line': 'HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n',
  'a space before the colon': 'HTTP/1.1 200 OK\r\nA : b\r\n\r\n',
  'a bare line feed': 'HTTP/1.1 200 OK\nA: b\r\n\r\n',
  'no status': 'HTTP/1.1 OK\r\n\r\n',
  'another protocol': 'SSH-2.0-x\r\n',
  'a wrong chunk size':
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n\r\n',
})) {
  test(`refuses ${name}`, (t) => {
    const {isAccepted, isComplete} = read(text);
    t.false(isAccepted);
    t.false(isComplete);
  });
}

test('any cut into chunks reads the same', (t) => {
  const text =
    'HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n' +
    '5\r\nhello\r\nA;x=y\r\n, whole on\r\n1\r\ne\r\n0\r\nT: u\r\n\r\n';
  const whole = read(text);
  t.is(whole.body, 'hello, whole one');
  fc.assert(
    fc.property(fc.array(fc.nat(text.length), {maxLength: 12}), (cuts) => {
      const places = [0, ...cuts.sort((a, b) => a - b), text.length];
      const chunks = places
        .slice(1)
        .map((end, index) => Buffer.from(text.slice(places[index], end)));
      return JSON.stringify(readAll(chunks)) === JSON.stringify(whole);
    }),
  );
  t.pass();
});

test('no bytes make it throw', (t) => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({maxLength: 200})), (chunks) => {
      readAll(chunks.map((chunk) => Buffer.from(chunk)));
      readAll([
        Buffer.from('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'),
        ...chunks.map((chunk) => Buffer.from(chunk)),
      ]);
    }),
  );
  t.pass();
});
