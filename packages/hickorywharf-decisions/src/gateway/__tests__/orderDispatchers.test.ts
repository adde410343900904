import test from 'ava';
import {orderDispatchers} from '../orderDispatchers.ts';

const SERVICES = ['scan', 'colour', 'portal'];

test('services are spread over the instances', (t) => {
  const firsts = SERVICES.map(
    (service) => orderDispatchers(service, SERVICES, ['x', 'y', 'z'])[0],
  );
  t.is(new Set(firsts).size, SERVICES.length);
});

test('every order of the same names gives the same successors', (t) => {
  t.deepEqual(
    orderDispatchers('scan', SERVICES, ['x', 'y', 'z']),
    orderDispatchers('scan', [...SERVICES].reverse(), ['z', 'x', 'y']),
  );
});

test('all instances are among the successors', (t) => {
  t.deepEqual(orderDispatchers('scan', SERVICES, ['x', 'y']).sort(), [
    'x',
    'y',
  ]);
});
