import test from 'ava';
import fc from 'fast-check';
import {createResponseParser} from '../createResponseParser.ts';

interface ParseResult {
  status: number | null;
  headers: readonly string[];
  body: string;
  isEnded: boolean;
  isAccepted: boolean;
  isComplete: boolean;
}

function parseAll(
  chunks: readonly Buffer[],
  isHeadRequest = false,
): ParseResult {
  const result: ParseResult = {
    status: null,
    headers: [],
    body: '',
    isEnded: false,
    isAccepted: true,
    isComplete: false,
  };
  const parser = createResponseParser(
    {
      onHead(status, headers) {
        result.status = status;
        result.headers = headers;
      },
      onBody: (bytes) => void (result.body += bytes.toString('latin1')),
      onEnd: () => void (result.isEnded = true),
    },
    isHeadRequest,
  );
  for (const chunk of chunks) {
    if (!parser.read(chunk)) result.isAccepted = false;
  }
  result.isComplete = result.isAccepted && parser.finish();
  return result;
}

const parse = (text: string) => parseAll([Buffer.from(text, 'latin1')]);

test('reads a body with a length', (t) => {
  const {status, body, isEnded} = parse(
    'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc',
  );
  t.deepEqual(
    {status, body, isEnded},
    {status: 200, body: 'abc', isEnded: true},
  );
});

test('a response shorter than its length is not complete', (t) => {
  t.false(parse('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc').isComplete);
});

test('a chunked body without its last chunk is not complete', (t) => {
  const head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
  t.false(parse(`${head}3\r\nabc\r\n`).isComplete);
  t.true(parse(`${head}3\r\nabc\r\n0\r\n\r\n`).isComplete);
});

test('a response without a length ends with its connection', (t) => {
  const {isEnded, isComplete, body} = parse('HTTP/1.1 200 OK\r\n\r\nabc');
  t.true(isComplete && isEnded);
  t.is(body, 'abc');
});

test('skips interim responses', (t) => {
  t.is(
    parse(
      'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n',
    ).status,
    201,
  );
});

test('bytes after a complete response are rejected', (t) => {
  t.false(
    parse('HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1').isAccepted,
  );
});

for (const [name, text] of Object.entries({
  'two lengths':
    'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na',
  'a length with chunked coding':
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
  test(`rejects ${name}`, (t) => {
    const {isAccepted, isComplete} = parse(text);
    t.false(isAccepted);
    t.false(isComplete);
  });
}

const longValue = 'x'.repeat(16_000);
const chunkedHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
for (const [part, {start, repeated, maximumBytes}] of Object.entries({
  headers: {
    start: 'HTTP/1.1 200 OK\r\n',
    repeated: `A: ${longValue}\r\n`,
    maximumBytes: 65_536,
  },
  'interim heads': {
    start: '',
    repeated: `HTTP/1.1 103 Early Hints\r\nA: ${longValue}\r\n\r\n`,
    maximumBytes: 65_536,
  },
  trailers: {
    start: `${chunkedHead}0\r\n`,
    repeated: 'A: b\r\n',
    maximumBytes: 16_384,
  },
  'chunk extensions': {
    start: chunkedHead,
    repeated: `1;${'x'.repeat(100)}\r\na\r\n`,
    maximumBytes: 32_768,
  },
})) {
  test(`${part} without end are not read without end`, (t) => {
    const parser = createResponseParser(
      {
        onHead: () => undefined,
        onBody: () => undefined,
        onEnd: () => undefined,
      },
      false,
    );
    parser.read(Buffer.from(start));
    let readBytes = 0;
    while (readBytes < 8_000_000 && parser.read(Buffer.from(repeated))) {
      readBytes += repeated.length;
    }
    t.true(readBytes <= maximumBytes, `${readBytes} bytes were read`);
    t.regex(parser.getError(), /longer than \d+ bytes/);
  });
}

test('many small chunks are read', (t) => {
  const chunks = '1\r\na\r\n'.repeat(50_000);
  const {isComplete, body} = parse(`${chunkedHead}${chunks}0\r\n\r\n`);
  t.true(isComplete);
  t.is(body.length, 50_000);
});

test('a response parses the same however it is split', (t) => {
  const text =
    'HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n' +
    '5\r\nhello\r\nA;x=y\r\n, whole on\r\n1\r\ne\r\n0\r\nT: u\r\n\r\n';
  const whole = parse(text);
  t.is(whole.body, 'hello, whole one');
  fc.assert(
    fc.property(fc.array(fc.nat(text.length), {maxLength: 12}), (cuts) => {
      const positions = [0, ...cuts.sort((a, b) => a - b), text.length];
      const chunks = positions
        .slice(1)
        .map((end, index) => Buffer.from(text.slice(positions[index], end)));
      return JSON.stringify(parseAll(chunks)) === JSON.stringify(whole);
    }),
  );
  t.pass();
});

test('arbitrary bytes do not make the parser throw', (t) => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({maxLength: 200})), (chunks) => {
      parseAll(chunks.map((chunk) => Buffer.from(chunk)));
      parseAll([
        Buffer.from('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'),
        ...chunks.map((chunk) => Buffer.from(chunk)),
      ]);
    }),
  );
  t.pass();
});

test('a body without a length that holds the status line of another response is rejected', (t) => {
  const first = 'HTTP/1.1 200 OK\r\n\r\nbody';
  const whole = first + 'HTTP/1.1 200 OK\r\n\r\nagain';
  for (let cut = first.length; cut < whole.length; cut += 1) {
    const chunks = [whole.slice(0, cut), whole.slice(cut)];
    const result = parseAll(chunks.map((chunk) => Buffer.from(chunk)));
    t.like(result, {body: 'body', isEnded: false, isAccepted: false});
  }
});

test('a body without a length that ends like the start of a status line is whole', (t) => {
  const {body, isComplete} = parse('HTTP/1.1 200 OK\r\n\r\nbody HTTP/1.1 2');
  t.deepEqual([body, isComplete], ['body HTTP/1.1 2', true]);
});

test('a status line in a body with a length is a part of it', (t) => {
  const text = 'HTTP/1.1 200 OK\r\n';
  const {body, isComplete} = parse(
    `HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n${text}`,
  );
  t.deepEqual([body, isComplete], [text, true]);
});

test('a body with a length that another response fills up is rejected', (t) => {
  const head = 'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n';
  for (let bodyBytes = 0; bodyBytes < 20; bodyBytes += 1) {
    const whole = `${head}${'x'.repeat(bodyBytes)}${head}${'y'.repeat(20)}`;
    for (let cut = 0; cut < head.length + 20; cut += 1) {
      const chunks = [whole.slice(0, cut), whole.slice(cut)];
      const result = parseAll(chunks.map((chunk) => Buffer.from(chunk)));
      t.like(result, {isEnded: false, isAccepted: false, isComplete: false});
    }
  }
});

test('a body with a length is whole if a second response follows it', (t) => {
  const first = 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody HTTP';
  for (let cut = 0; cut <= first.length; cut += 1) {
    const chunks = [first.slice(0, cut), first.slice(cut) + first];
    const {body, isEnded} = parseAll(chunks.map((chunk) => Buffer.from(chunk)));
    t.deepEqual([body, isEnded], ['body HTTP', true]);
  }
});

test('the heads of two responses are not read as one', (t) => {
  const head =
    'HTTP/1.1 200 OK\r\nRequest-Id: a\r\nAge: 1\r\nContent-Length: 4\r\n\r\n';
  for (let cut = 1; cut < head.length; cut += 1) {
    const {isEnded, isAccepted} = parse(`${head.slice(0, cut)}${head}body`);
    t.deepEqual([isEnded, isAccepted], [false, false], head.slice(0, cut));
  }
});

test('a chunk that another response fills up is not passed on from there', (t) => {
  const chunk = `200\r\nbody${chunkedHead}200\r\n`;
  const whole = `${chunkedHead}${chunk}${'x'.repeat(600)}\r\n0\r\n\r\n`;
  for (let cut = chunkedHead.length + 5; cut < whole.length; cut += 1) {
    const chunks = [whole.slice(0, cut), whole.slice(cut)];
    const {body, isAccepted} = parseAll(
      chunks.map((bytes) => Buffer.from(bytes)),
    );
    t.false(isAccepted);
    t.true('body'.startsWith(body), body);
  }
});

test('a chunk that holds a status line is whole however it is split', (t) => {
  const texts = ['HTTP/1.1 200 OK HT', 'TP/1.1 200 ', 'H', 'a HTTP/1.1 2'];
  const chunks = texts.map((text) => `${text.length.toString(16)}\r\n${text}`);
  const whole = `${chunkedHead}${chunks.join('\r\n')}\r\n0\r\n\r\n`;
  fc.assert(
    fc.property(fc.array(fc.nat(whole.length), {maxLength: 12}), (cuts) => {
      const positions = [0, ...cuts.sort((a, b) => a - b), whole.length];
      const {body, isComplete} = parseAll(
        positions
          .slice(1)
          .map((end, index) => Buffer.from(whole.slice(positions[index], end))),
      );
      t.deepEqual([body, isComplete], [texts.join(''), true]);
    }),
  );
});

test('a long chunk that holds a status line is not held back without end', (t) => {
  let bodyBytes = 0;
  const parser = createResponseParser(
    {
      onHead: () => undefined,
      onBody: ({length}) => void (bodyBytes += length),
      onEnd: () => undefined,
    },
    false,
  );
  parser.read(Buffer.from(`${chunkedHead}fffffff\r\nHTTP/1.1 200 OK`));
  const part = Buffer.alloc(10_000, 'x');
  for (let count = 0; count < 100; count += 1) parser.read(part);
  t.true(bodyBytes > 900_000, `${bodyBytes} bytes were passed on`);
});

const MAXIMUM_PARSE_MILLISECONDS = 250;

// Guards against a header expression whose time grows with a power of the
// length of a line: one such line kept the gateway from answering any caller.
for (const [name, character] of Object.entries({
  spaces: ' ',
  tabs: '\t',
  colons: ':',
  digits: '1',
  'no-break spaces': '\xa0',
})) {
  test(`an invalid line of ${name} is rejected without delay`, (t) => {
    const line = `${character.repeat(2000)}\0`;
    const responses = [
      `HTTP/1.1 200 ${line}\r\n\r\n`,
      `HTTP/1.1 200 OK\r\n${line}\r\n\r\n`,
      `HTTP/1.1 200 OK\r\nX:${line}\r\n\r\n`,
      `${chunkedHead}1${line}\r\n`,
      `${chunkedHead}0\r\nX:${line}\r\n\r\n`,
    ];
    for (const response of responses) {
      const start = process.threadCpuUsage();
      t.false(parse(response).isComplete);
      const {user, system} = process.threadCpuUsage(start);
      const milliseconds = (user + system) / 1000;
      t.true(milliseconds < MAXIMUM_PARSE_MILLISECONDS, `${milliseconds} ms`);
    }
  });
}

test('only spaces and tabs around a header value are removed', (t) => {
  const {headers} = parse(
    'HTTP/1.1 204 No Content\r\nA: \t\xa0 b \xa0\t \r\nB:\r\nC: \t \r\n\r\n',
  );
  t.deepEqual(headers, ['A', '\xa0 b \xa0', 'B', '', 'C', '']);
});
