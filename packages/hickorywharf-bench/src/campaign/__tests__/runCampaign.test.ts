import {mkdtempSync, rmSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import test from 'ava';
import {runCampaign} from '../runCampaign.ts';

const PROGRAM = path.resolve(
  import.meta.dirname,
  '../../../../hickorywharf/bin/hickorywharf.ts',
);

/** An entry killed while the store is down; a desk stopped, a home lapsed. */
const SEEDS = [1, 69];

for (const seed of SEEDS) {
  test.serial(
    `every promise holds under the faults of seed ${seed}`,
    async (t) => {
      const directory = mkdtempSync(path.join(os.tmpdir(), 'campaign-'));
      const run = await runCampaign({
        seed,
        program: process.execPath,
        programWords: [PROGRAM],
        directory,
      });
      rmSync(directory, {recursive: true});
      t.deepEqual(run.breaches, []);
      t.true(run.answered > 0);
    },
  );
}
