import {execFileSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {parseArgs} from 'node:util';
import {runBenchmark} from '../src/benchmark/runBenchmark.ts';

const ROOT = path.resolve(import.meta.dirname, '../../..');

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    output: {type: 'string', default: 'docs/reports/benchmark.json'},
  },
});
execFileSync(process.execPath, [path.join(ROOT, 'scripts/build.mjs')], {
  stdio: 'inherit',
});
const directory = mkdtempSync(path.join(os.tmpdir(), 'hickorywharf-bench-'));
const report = await runBenchmark({
  program: path.join(ROOT, 'dist/hickorywharf'),
  directory,
  seed: Number(values.seed),
  print: (line) => console.log(line),
});
rmSync(directory, {recursive: true});
const output = path.resolve(ROOT, values.output);
writeFileSync(output, `${JSON.stringify(report, null, 2)}\n`);
