import test from 'ava';
import {rankDispatchers} from '../rankDispatchers.ts';

const named = (...names: readonly string[]) =>
  names.map((name) => ({name, capacity: 0.5}));

const SERVICES = ['scan', 'colour', 'portal'];

test('services are spread over the instances', (t) => {
  const dispatchers = SERVICES.map(
    (service) => rankDispatchers(service, SERVICES, named('x', 'y', 'z'))[0],
  );
  t.is(new Set(dispatchers).size, SERVICES.length);
});

test('the order of the input does not affect the ranking', (t) => {
  t.deepEqual(
    rankDispatchers('scan', SERVICES, named('x', 'y', 'z')),
    rankDispatchers('scan', [...SERVICES].reverse(), named('z', 'x', 'y')),
  );
});

test('all instances are ranked', (t) => {
  t.deepEqual(rankDispatchers('scan', SERVICES, named('x', 'y')).sort(), [
    'x',
    'y',
  ]);
});

test('instances with more capacity go first', (t) => {
  const instances = [...named('x', 'y', 'z'), {name: 'large', capacity: 1.35}];
  t.is(rankDispatchers('colour', ['colour'], instances)[0], 'large');
});

test('one instance dispatches for all, and none for nothing', (t) => {
  t.deepEqual(rankDispatchers('scan', [], named('x')), ['x']);
  t.deepEqual(rankDispatchers('scan', SERVICES, []), []);
});

test('more services than instances are spread evenly', (t) => {
  const services = ['scan', 'colour', 'portal', 'desk'];
  const dispatchers = services.map(
    (service) => rankDispatchers(service, services, named('x', 'y'))[0],
  );
  t.is(dispatchers.filter((name) => name === 'x').length, 2);
});

/** Moves of services while each instance in turn leaves and comes back. */
function countMoves(size: number, seeds: number) {
  let departures = 0;
  let otherMoves = 0;
  let disagreements = 0;
  for (let seed = 0; seed < seeds; seed += 1) {
    const names = Array.from({length: size}, (_none, i) => `${seed}-${i}`);
    const services = SERVICES.map((service) => `${service}-${seed}`);
    for (const gone of names) {
      const rest = named(...names.filter((name) => name !== gone));
      departures += 1;
      for (const service of services) {
        const before = rankDispatchers(service, services, named(...names));
        const after = rankDispatchers(service, services, rest);
        if (before[0] !== gone && before[0] !== after[0]) otherMoves += 1;
        const withoutGone = before.filter((name) => name !== gone);
        if (before[0] === gone && withoutGone[0] !== after[0]) {
          disagreements += 1;
        }
      }
    }
  }
  return {departures, otherMoves, disagreements};
}

test('planned stops one after the other move hardly any service of others', (t) => {
  for (const size of [3, 4, 10]) {
    const {departures, otherMoves, disagreements} = countMoves(size, 40);
    // An instance has so many services itself, on average.
    const ownServices = SERVICES.length / size;
    t.true(
      otherMoves / departures <= ownServices / 2,
      `${otherMoves} of ${departures} at ${size}`,
    );
    t.is(disagreements, 0, 'instances with and without the departure agree');
  }
});
