import {execFileSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {parseArgs} from 'node:util';
import {formatCampaign} from '../src/campaign/formatCampaign.ts';
import {runCampaign} from '../src/campaign/runCampaign.ts';

const ROOT = path.resolve(import.meta.dirname, '../../..');

const {values} = parseArgs({
  options: {
    seeds: {type: 'string', default: '3'},
    seed: {type: 'string', default: '1'},
    parallel: {type: 'string', default: '2'},
    output: {type: 'string'},
  },
});

type Run = Awaited<ReturnType<typeof runCampaign>>;

const directory = mkdtempSync(path.join(os.tmpdir(), 'hickorywharf-campaign-'));
const program = path.join(ROOT, 'dist/hickorywharf');
const firstSeed = Number(values.seed);
const seeds = Array.from(
  {length: Number(values.seeds)},
  (_, offset) => firstSeed + offset,
);
const runs: Run[] = [];
execFileSync(process.execPath, [path.join(ROOT, 'scripts/build.mjs')]);

function printRun(run: Run): void {
  const names = run.plan.faults.map(({name, target}) => `${name} ${target}`);
  console.log(
    `seed ${run.seed}: ${names.join(` ${run.plan.arrangement} `)}: ${run.answered} of ${run.sent} answered, ${run.breaches.length} broken promises`,
  );
  for (const {promise, detail} of run.breaches) {
    console.log(`  BROKEN ${promise}: ${detail}`);
  }
  if (run.breaches.length > 0) console.log(`  history: ${run.historyFile}`);
  else rmSync(path.dirname(run.historyFile), {recursive: true});
}

async function runRemainingSeeds(): Promise<void> {
  for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
    const run = await runCampaign({
      seed,
      program,
      directory: path.join(directory, String(seed)),
    });
    runs.push(run);
    printRun(run);
  }
}

await Promise.all(
  Array.from({length: Number(values.parallel)}, runRemainingSeeds),
);
runs.sort((left, right) => left.seed - right.seed);
const hasPassed = runs.every(({breaches}) => breaches.length === 0);
if (hasPassed) rmSync(directory, {recursive: true});
if (values.output !== undefined) {
  writeFileSync(values.output, formatCampaign(runs));
}
console.log(
  `${runs.length} runs, ${runs.filter(({breaches}) => breaches.length > 0).length} with broken promises`,
);
process.exit(hasPassed ? 0 : 1);
