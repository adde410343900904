import {readFileSync} from 'node:fs';
import path from 'node:path';
import test from 'ava';
import {historyChecks} from '../history/historyChecks.ts';
import {historySchemas} from '../history/historySchemas.ts';

const PAGE = path.resolve(
  import.meta.dirname,
  '../../../../docs/reference/history.md',
);
const rows = readFileSync(PAGE, 'utf8')
  .split('\n')
  .filter((line) => line.startsWith('|'))
  .map((line) => line.split('|').map((cell) => cell.trim()));
const STAMP = rows
  .map(([, name = '']) => name.replaceAll('`', ''))
  .filter((name) => name in historySchemas.timePassed.shape);

test('the page lists each event with its fields', (t) => {
  for (const [tag, {shape}] of Object.entries(historySchemas)) {
    const row = rows.find(([, name]) => name === `\`${tag}\``);
    t.truthy(row, tag);
    for (const field of Object.keys(shape)) {
      const isListed = row![3]!.includes(`\`${field}\``);
      t.true(isListed || STAMP.includes(field), `${tag}.${field}`);
    }
  }
  t.is(STAMP.length, Object.keys(historySchemas.timePassed.shape).length);
});

test('the page lists exactly the guarantees that are checked', (t) => {
  const from = rows.findIndex(([, name]) => name === 'Promise');
  const listed = rows.slice(from + 2).map(([, name]) => name);
  t.deepEqual(listed, Object.keys(historyChecks));
});
