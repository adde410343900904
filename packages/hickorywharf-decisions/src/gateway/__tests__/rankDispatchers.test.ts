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
