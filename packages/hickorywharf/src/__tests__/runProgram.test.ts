import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import test from 'ava';
import {commands} from '../commands/commands.ts';

const PROGRAM = path.resolve(import.meta.dirname, '../../bin/hickorywharf.ts');
const FIXTURE = path.resolve(
  import.meta.dirname,
  '../../../hickorywharf-bench/src/__tests__/__fixtures__/good.ndjson',
);

function run(...words: string[]) {
  const {status, stdout, stderr} = spawnSync(process.execPath, [
    PROGRAM,
    ...words,
  ]);
  return {status, output: String(stdout), errors: String(stderr)};
}

function runWithFile(text: string, ...words: string[]) {
  const directory = mkdtempSync(path.join(os.tmpdir(), 'program-'));
  const file = path.join(directory, 'file');
  writeFileSync(file, text);
  const result = run(...words, file);
  rmSync(directory, {recursive: true});
  return result;
}

test('--help of each command describes all of its options', async (t) => {
  for (const [name, load] of Object.entries(commands)) {
    const {options, optionHelp} = await load();
    t.deepEqual(Object.keys(optionHelp).sort(), Object.keys(options).sort());
    const {status, output} = run(name, '--help');
    t.is(status, 0, name);
    t.true(output.startsWith(`Usage: hickorywharf ${name}`), name);
    for (const option of Object.keys(options)) {
      t.true(output.includes(`--${option} `), `${name} --${option}`);
    }
  }
});

test('--help lists every command', (t) => {
  const {status, output} = run('--help');
  t.is(status, 0);
  for (const name of Object.keys(commands)) {
    t.true(output.includes(`  ${name} `), name);
  }
});

const USAGE_ERRORS: Readonly<
  Record<string, readonly [readonly string[], RegExp]>
> = {
  'an unknown command': [['aply'], /did you mean 'apply'/],
  'an unknown flag': [['entry', '--setings', 'a'], /did you mean '--settings'/],
  'a flag without its value': [['entry', '--settings'], /settings/],
  'too few arguments': [['check-history'], /takes FILE/],
  'too many arguments': [['check-history', 'a', 'b'], /takes FILE/],
  'a wrong role': [
    ['check-settings', 'a', '--role', 'x'],
    /entry, endpoint, gateway/,
  ],
  'no settings': [['entry'], /\[process\].*missing/],
};

for (const [what, [words, message]] of Object.entries(USAGE_ERRORS)) {
  test(`exit code 2 and a hint for ${what}`, (t) => {
    const {status, errors} = run(...words);
    t.is(status, 2);
    t.regex(errors, message);
  });
}

test('check-history exits with 0 for a history without violations', (t) => {
  const {status, output} = run('check-history', FIXTURE);
  t.is(status, 0);
  t.regex(output, /, 0 breaches/);
});

test('check-history exits with 1 and names the line that is not an event', (t) => {
  const {status, errors} = runWithFile('{}\n', 'check-history');
  t.is(status, 1);
  t.regex(errors, /file:1: is no event/);
});

test('check-settings infers the role, or requires --role', (t) => {
  const wrong = runWithFile('[backend]\nkind = engin\n', 'check-settings');
  t.is(wrong.status, 1);
  t.regex(wrong.errors, /\[process\]|\[backend\]/);
  const neither = runWithFile('[logs]\n', 'check-settings');
  t.is(neither.status, 2);
  t.regex(neither.errors, /--role/);
});
