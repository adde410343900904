import test from 'ava';
import {chooseStoreReader} from '../chooseStoreReader.ts';

const instances = Array.from({length: 30}, (_value, index) => ({
  name: `front-${index}`,
  failureDomain: `domain-${index % 3}`,
  capacity: 0.5,
}));

function readers(
  isConnected: (name: string) => boolean,
): Map<string, string | null> {
  return new Map(
    instances
      .filter(({name}) => isConnected(name))
      .map(({name, failureDomain}) => [
        name,
        chooseStoreReader({name, failureDomain, instances, isConnected}),
      ]),
  );
}

test('one instance of each failure domain reads the store', (t) => {
  const chosen = readers(() => true);
  const direct = [...chosen].filter(([, reader]) => reader === null);
  t.is(direct.length, 3);
  for (const [name, reader] of chosen) {
    if (reader === null) continue;
    t.is(chosen.get(reader), null, `${reader} reads for ${name}`);
    const domains = [name, reader].map(
      (instance) => Number(instance.slice(6)) % 3,
    );
    t.is(domains[0], domains[1]);
  }
});

test('the next instance takes over from a disconnected reader', (t) => {
  const first = [...readers(() => true)].filter(([, reader]) => !reader);
  const disconnected = new Set(first.map(([name]) => name));
  const chosen = readers((name) => !disconnected.has(name));
  const direct = [...chosen].filter(([, reader]) => reader === null);
  t.is(direct.length, 3);
  t.false(direct.some(([name]) => disconnected.has(name)));
});

test('an instance without others reads the store itself', (t) => {
  const alone = {name: 'x', failureDomain: 'a', isConnected: () => true};
  t.is(chooseStoreReader({...alone, instances: []}), null);
});

test('an instance on a slow link reads only if no stronger one is connected', (t) => {
  const mixed = instances.map((instance, index) => ({
    ...instance,
    capacity: index < 24 ? 0.12 : 1.35,
  }));
  const getReader = (isConnected: (name: string) => boolean) =>
    chooseStoreReader({
      name: 'front-0',
      failureDomain: 'domain-0',
      instances: mixed,
      isConnected,
    });
  t.true(['front-24', 'front-27'].includes(getReader(() => true)!));
  t.is(
    getReader((name) => name !== 'front-24'),
    'front-27',
  );
  const weak = getReader((name) => Number(name.slice(6)) < 24);
  t.true(weak === null || Number(weak.slice(6)) < 24);
});
