import test from 'ava';
import {chooseEntrySubset} from '../chooseEntrySubset.ts';

const ENTRIES = 370;
const ENDPOINTS = 4200;
const FAILURE_DOMAINS = 10;
const PER_ENTRY = 64;

function create(kind: string, count: number) {
  return Array.from({length: count}, (_, index) => ({
    name: `${kind}-${index}`,
    failureDomain: `domain-${index % FAILURE_DOMAINS}`,
  }));
}

const allEntries = create('entry', ENTRIES);
const endpoints = create('endpoint', ENDPOINTS);

function chooseAll(entries: typeof allEntries) {
  return endpoints.map((endpoint) =>
    chooseEntrySubset({
      endpoint,
      entries,
      poolSize: ENDPOINTS,
      endpointsPerEntry: PER_ENTRY,
    }),
  );
}

const chosen = chooseAll(allEntries);

test('at the target scale, connections are few and evenly distributed', (t) => {
  const connections = new Map(allEntries.map(({name}) => [name, 0]));
  for (const name of chosen.flatMap((names) => [...names])) {
    connections.set(name, connections.get(name)! + 1);
  }
  const counts = [...connections.values()];
  const perEndpoint = Math.ceil((PER_ENTRY * ENTRIES) / ENDPOINTS);
  t.log(
    `${perEndpoint} an endpoint, ${Math.min(...counts)} to ${Math.max(...counts)} an entry`,
  );
  t.true(chosen.every(({size}) => size === perEndpoint));
  t.true(Math.min(...counts) >= PER_ENTRY / 2);
  t.true(Math.max(...counts) <= PER_ENTRY * 2);
});

test('an entry that leaves changes only the endpoints that it had', (t) => {
  const removed = 'entry-7';
  const after = chooseAll(allEntries.filter(({name}) => name !== removed));
  for (const [index, names] of chosen.entries()) {
    const lost = [...names].filter((name) => !after[index]!.has(name));
    t.deepEqual(lost, names.has(removed) ? [removed] : []);
  }
});
