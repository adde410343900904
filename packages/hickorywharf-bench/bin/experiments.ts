/**
 * Runs the load and fault experiments with the built program and writes their
 * reports and a table of the results.
 *
 *     npm run experiments -- --seeds 5 --only steady,overload
 */
import {spawnSync} from 'node:child_process';
import {existsSync, mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {parseArgs} from 'node:util';
import type {ExperimentReport} from 'hickorywharf-bench/experiments/experimentReport';
import {createResultsTable} from 'hickorywharf-bench/report/createResultsTable';

const NAMES = [
  'steady',
  'overload',
  'burst',
  'slow-endpoint',
  'failure-domain',
  'head-of-line',
  'fairness',
  'prefix',
  'lagging-load',
];

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    seeds: {type: 'string', default: '5'},
    only: {type: 'string', default: NAMES.join(',')},
    'table-only': {type: 'boolean', default: false},
  },
});
const root = path.resolve(import.meta.dirname, '../../..');
const program = path.join(root, 'dist/hickorywharf');
const directory = path.join(root, 'docs/reports');
const getFile = (name: string) => path.join(directory, `${name}.json`);

function run(name: string): void {
  const commandArguments = ['experiment', name, '--seed', values.seed];
  commandArguments.push('--seeds', values.seeds, '--output', getFile(name));
  const {status} = spawnSync(program, commandArguments, {stdio: 'inherit'});
  if (status !== 0) throw new Error(`experiment ${name} exited with ${status}`);
}

mkdirSync(directory, {recursive: true});
if (!values['table-only']) values.only.split(',').forEach(run);
const reports = NAMES.map(getFile)
  .filter(existsSync)
  .map((file) => JSON.parse(readFileSync(file, 'utf8')) as ExperimentReport);
const seeds = reports.map(
  (report) => `${report.experiment} ${report.seeds.join(', ')}`,
);
const missing = NAMES.filter((name) => !existsSync(getFile(name)));
const notRun = missing.length === 0 ? 'none' : missing.join(', ');
const page = `# Policy under load and faults

Written by \`npm run experiments -- --seeds 5\`; one experiment alone by
\`dist/hickorywharf experiment NAME --seed 1 --seeds 5 --output FILE.json\`,
drawn by \`dist/hickorywharf report FILE.json\`. Real processes on loopback at
today's sizes; each line's baselines ran beside it under the same schedule.
Values are medians over the seeds, with their spread.

Seeds: ${seeds.join('; ')}. Not run: ${notRun}.

${createResultsTable(reports)}`;
writeFileSync(path.join(directory, 'policy.md'), page);
console.log(page);
