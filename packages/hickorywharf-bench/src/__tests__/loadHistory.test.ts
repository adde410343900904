import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import test from 'ava';
import fc from 'fast-check';
import {readHistoryLine} from '../history/readHistoryLine.ts';
import {loadHistory} from '../loadHistory.ts';

const STAMP = {
  process: 'entry-1',
  incarnation: 'i-1',
  monotonicMilliseconds: 1,
  wallMilliseconds: 2,
};
const GOOD = JSON.stringify({...STAMP, tag: 'processPaused', name: 'desk-1'});

function load(text: string) {
  const directory = mkdtempSync(path.join(os.tmpdir(), 'history-'));
  const file = path.join(directory, 'history.ndjson');
  writeFileSync(file, text);
  const loaded = loadHistory(file);
  rmSync(directory, {recursive: true});
  return loaded.mapErr(({line, message}) => `${line}: ${message}`);
}

test('an incomplete last line is skipped', (t) => {
  t.is(load(`${GOOD}\n{"tag":"proc`)._unsafeUnwrap().length, 1);
});

const WRONG: Readonly<Record<string, readonly [string, RegExp]>> = {
  'a line that is not JSON': [`${GOOD}\nreel 7\n${GOOD}\n`, /^2: is not JSON/],
  'a line without a tag': ['[]\n', /^1: is no event/],
  'an unknown tag': [
    GOOD.replace('processPaused', 'procesPaused') + '\n',
    /^1: 'procesPaused' .*did you mean 'processPaused'/,
  ],
  'a tag that is a property of every object': [
    GOOD.replace('processPaused', 'toString') + '\n',
    /^1: 'toString' is no kind of event/,
  ],
  'a field of the wrong type': [
    GOOD.replace('"desk-1"', '1') + '\n',
    /^1: processPaused\.name: /,
  ],
  'a missing stamp': ['{"tag":"processPaused","name":"a"}\n', /^1: .*process/],
  'an unknown field': [GOOD.replace('}', ',"more":1}') + '\n', /^1: .*more/],
  'an empty file': ['', /^0: has no event/],
};

for (const [description, [text, message]] of Object.entries(WRONG)) {
  test(`an error gives its line: ${description}`, (t) => {
    t.regex(load(text)._unsafeUnwrapErr(), message);
  });
}

test('the reader throws on no line', (t) => {
  const tag = fc.constantFrom('requestSent', 'processPaused', '__proto__');
  const line = fc.oneof(
    fc.string(),
    fc.json(),
    fc.record({tag, name: fc.anything()}).map((event) => JSON.stringify(event)),
  );
  fc.assert(
    fc.property(line, (text) => {
      readHistoryLine(text);
    }),
  );
  t.pass();
});

test('a missing file is an error, not an exception', (t) => {
  t.is(loadHistory('/nowhere/history.ndjson')._unsafeUnwrapErr().line, 0);
});
