import test from 'ava';
import fc from 'fast-check';
import {createStatusLineFinder} from '../createStatusLineFinder.ts';

function find(chunks: readonly string[]) {
  const finder = createStatusLineFinder();
  const bytes = chunks.map((chunk) => finder.append(Buffer.from(chunk)));
  return {
    text: Buffer.concat([...bytes, finder.getRemainder()]).toString(),
    isFound: finder.isFound(),
  };
}

test('finds a status line however the body is split', (t) => {
  const body = 'HTTP HTTP/1.x bodyHTTP/1.1 503 Busy\r\nrest';
  fc.assert(
    fc.property(fc.array(fc.nat({max: body.length})), (cuts) => {
      const ends = [...cuts, body.length].sort((a, b) => a - b);
      const chunks = ends.map((end, index) =>
        body.slice(ends[index - 1] ?? 0, end),
      );
      t.deepEqual(find(chunks), {text: 'HTTP HTTP/1.x body', isFound: true});
    }),
  );
});

test('returns the whole of a body without a status line', (t) => {
  for (const body of ['', 'H', 'an HTTP/1.1', 'HTTP/1.1 2', 'HTTP/2 200 ']) {
    t.deepEqual(find([...body]), {text: body, isFound: false});
  }
});

test('keeps back no bytes that cannot begin a status line', (t) => {
  const finder = createStatusLineFinder();
  t.is(finder.append(Buffer.from('id: 1\n\n')).toString(), 'id: 1\n\n');
  t.is(finder.append(Buffer.from('HTTP/1.1 2')).toString(), '');
  t.is(finder.append(Buffer.from('x')).toString(), 'HTTP/1.1 2x');
});
