import {execFileSync} from 'node:child_process';
import path from 'node:path';
import {parseArgs} from 'node:util';
import {runDemo} from '../src/demo/runDemo.ts';

const ROOT = path.resolve(import.meta.dirname, '../../..');

const {values} = parseArgs({options: {keep: {type: 'boolean'}}});
execFileSync(process.execPath, [path.join(ROOT, 'scripts/build.mjs')], {
  stdio: 'inherit',
});
const hasPassed = await runDemo({
  program: path.join(ROOT, 'dist/hickorywharf'),
  keep: values.keep === true,
  print: (line) => console.log(line),
});
console.log(hasPassed ? 'every promise held' : 'a promise was broken');
process.exit(hasPassed ? 0 : 1);
