import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import test from 'ava';

const SCRIPT = path.resolve(
  import.meta.dirname,
  '../../../../scripts/countTests.mjs',
);
const PASSED = 'ok 1 - desk › answers';
const FAILED = 'not ok 2 - desk › refuses';

function count(report: string, known: string, testStatus: number) {
  const directory = mkdtempSync(path.join(os.tmpdir(), 'count-'));
  const files = ['report', 'known'].map((name) => path.join(directory, name));
  writeFileSync(files[0]!, report);
  writeFileSync(files[1]!, known);
  const words = [SCRIPT, ...files, String(testStatus), '0'];
  const {status, stdout} = spawnSync(process.execPath, words);
  rmSync(directory, {recursive: true});
  return {status, lastLine: String(stdout).trim().split('\n').at(-1)};
}

test('a failure that is not listed fails, and the counts include it', (t) => {
  const counted = count(`${PASSED}\n${FAILED}\n`, '', 1);
  t.deepEqual(counted, {status: 1, lastLine: '1 passed, 1 failed'});
});

test('a listed failure does not fail the run and is still counted', (t) => {
  const known = 'test: desk › refuses\n  npm test, seed 1: refused; issue 2\n';
  const counted = count(`${PASSED}\n${FAILED}\n`, known, 1);
  t.deepEqual(counted, {status: 0, lastLine: '1 passed, 1 failed'});
});

test('a listed title must be the whole title of a test', (t) => {
  t.is(count(`${PASSED}\n${FAILED}\n`, 'test: desk\n', 1).status, 1);
});

test('a run that crashed or ran no test fails', (t) => {
  t.is(count(`${PASSED}\n`, '', 1).status, 1);
  t.is(count('', '', 0).status, 1);
});

test('a listed test that does not exist fails', (t) => {
  t.is(count(`${PASSED}\n`, 'test: gone\n', 0).status, 1);
});
