import {readFileSync} from 'node:fs';
import path from 'node:path';
import test from 'ava';
import {createConfigurationLog} from 'hickorywharf-decisions/configuration/createConfigurationLog';
import {splitAssignment} from 'hickorywharf-validation/splitAssignment';
import {assignHalves} from '../assignHalves.ts';
import {checkChange} from '../findings/checkChange.ts';
import {loadDeclarations} from '../loadDeclarations.ts';
import {planChanges} from '../planChanges.ts';
import {previewChanges} from '../previewChanges.ts';

const EXAMPLES = path.resolve(import.meta.dirname, '../../../../examples');
/** Number of endpoints that the examples declare, by pool. */
const POOL_SIZES = {
  lusacine: {
    models: 8,
    bookings: 3,
    'scanner-intakes': 3,
    'colour-queues': 4,
    'client-portals': 4,
  },
  authority: {
    models: 8,
    'lending-desks': 3,
    memberships: 3,
    'repair-queues': 4,
    notices: 4,
  },
} as const;
const ACCOUNTS = 5;

function load(name: string) {
  return loadDeclarations(path.join(EXAMPLES, name))._unsafeUnwrap();
}

function activate(declared: ReturnType<typeof load>) {
  const changes = planChanges(declared, [], {prune: false});
  return previewChanges(createConfigurationLog(), changes);
}

for (const [name, sizes] of Object.entries(POOL_SIZES)) {
  test(`${name} has the expected pools and no findings`, (t) => {
    const log = activate(load(name));
    const {endpoints, accountsByKeyHash} = log.getView();
    const pools: Record<string, number> = {};
    for (const {pool} of endpoints.values()) {
      pools[pool] = (pools[pool] ?? 0) + 1;
    }
    t.deepEqual(pools, sizes);
    t.is(accountsByKeyHash.size, ACCOUNTS);
    t.deepEqual(checkChange(createConfigurationLog(), log), []);
    const versions = new Set(
      load(name).map((document) => document['schemaVersion']),
    );
    t.deepEqual([...versions].sort(), [1, 2]);
  });

  test(`${name} can be split: each half keeps every stage`, (t) => {
    const declared = load(name);
    const before = activate(declared);
    const file = path.join(EXAMPLES, `${name}-split.json`);
    const assignment = splitAssignment.parse(
      JSON.parse(readFileSync(file, 'utf8')),
    );
    const assigned = assignHalves(declared, assignment)._unsafeUnwrap();
    const {documents} = before.getSnapshot();
    const changes = planChanges(assigned, documents, {prune: false});
    const findings = checkChange(before, previewChanges(before, changes));
    const lost = findings.filter(({message}) => message.includes('loses'));
    t.deepEqual(lost, []);
    t.true(findings.length > 0, 'moved homes are reported');
  });
}
