import {mkdtempSync, readdirSync, readFileSync, rmSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import test from 'ava';
import {loadHistory} from '../../loadHistory.ts';
import {campaignPlan} from '../campaignPlan.ts';
import {runCampaign} from '../runCampaign.ts';

const PROGRAM = path.resolve(
  import.meta.dirname,
  '../../../../hickorywharf/bin/hickorywharf.ts',
);

const NAMES = new Set([
  ...campaignPlan.entries,
  ...campaignPlan.endpoints.map(({name}) => name),
]);
/** Must not be logged: the account's key, and callers' texts. */
const SECRETS = [campaignPlan.accountKey, /campaign \d+ \d+/];
const UUID7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7/;

function readLogLines(directory: string): string[] {
  return readdirSync(directory)
    .filter((file) => NAMES.has(path.basename(file, '.log')))
    .filter((file) => file.endsWith('.log'))
    .flatMap((file) =>
      readFileSync(path.join(directory, file), 'utf8').split('\n'),
    )
    .filter((line) => line !== '');
}

function readKeys(directory: string): string[] {
  const events = loadHistory(path.join(directory, 'history.ndjson'));
  return events
    ._unsafeUnwrap()
    .flatMap((event) =>
      event.tag === 'requestSent' ? [event.idempotencyKey ?? ''] : [],
    )
    .filter((key) => UUID7.test(key));
}

/**
 * 1: an entry is killed while the store is down. 69: a desk is stopped, then
 * the home intervals of another expire. 104: operators race, twice.
 */
const SEEDS = [1, 69, 104];

for (const seed of SEEDS) {
  test.serial(
    `every guarantee holds under the faults of seed ${seed}`,
    async (t) => {
      const directory = mkdtempSync(path.join(os.tmpdir(), 'campaign-'));
      const run = await runCampaign({
        seed,
        program: process.execPath,
        programArguments: [PROGRAM],
        directory,
      });
      const lines = readLogLines(directory);
      const keys = readKeys(directory);
      rmSync(directory, {recursive: true});
      t.true(lines.length > 0 && keys.length > 0);
      for (const line of lines) {
        const fields = JSON.parse(line);
        for (const name of ['requestId', 'step', 'peer']) {
          t.true(name in fields, line);
        }
        t.false(
          SECRETS.some((secret) => new RegExp(secret).test(line)),
          line,
        );
        t.false(
          keys.some((key) => line.includes(key)),
          line,
        );
      }
      t.deepEqual(run.breaches, []);
      t.true(run.answered > 0);
    },
  );
}
