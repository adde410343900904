import {execFileSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {parseArgs} from 'node:util';
import {measureCoreSlopes} from '../src/slopes/measureCoreSlopes.ts';
import {measureProcessSlopes} from '../src/slopes/measureProcessSlopes.ts';
import type {Slope} from '../src/slopes/slope.ts';

const ROOT = path.resolve(import.meta.dirname, '../../..');

const {values} = parseArgs({
  options: {
    output: {type: 'string', default: 'docs/reports/slopes.json'},
    core: {type: 'boolean', default: false},
  },
});

function print(slope: Slope): void {
  const points = slope.points.map(
    ({size, value}) => `${size}: ${value.toFixed(3)}`,
  );
  console.log(
    `${slope.name} [${slope.valueUnit}] ${points.join(', ')}; ${slope.intercept.toFixed(3)} + ${slope.slope.toFixed(6)} for each of ${slope.sizeUnit}`,
  );
}

const slopes = measureCoreSlopes();
slopes.forEach(print);
if (!values.core) {
  execFileSync(process.execPath, [path.join(ROOT, 'scripts/build.mjs')], {
    stdio: 'inherit',
  });
  const directory = mkdtempSync(path.join(os.tmpdir(), 'hickorywharf-slopes-'));
  const program = path.join(ROOT, 'dist/hickorywharf');
  const measured = await measureProcessSlopes({program, directory});
  measured.forEach(print);
  slopes.push(...measured);
  rmSync(directory, {recursive: true});
}
const output = path.resolve(ROOT, values.output);
writeFileSync(output, `${JSON.stringify({slopes}, null, 2)}\n`);
process.exit(0);
