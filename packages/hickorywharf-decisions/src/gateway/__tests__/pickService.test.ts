import test from 'ava';
import type {GatewayRoute} from 'hickorywharf-types/gateway/gatewayRoute';
import {pickService} from '../pickService.ts';

const route = (services: GatewayRoute['services']) =>
  ({services}) as GatewayRoute;

test('a split gives each service about its share', (t) => {
  const split = route([
    {service: 'old', weight: 90},
    {service: 'new', weight: 10},
  ]);
  let picked = 0;
  for (let request = 0; request < 5000; request += 1) {
    if (pickService(split, `request-${request}`) === 'new') picked += 1;
  }
  t.true(picked > 400 && picked < 600, `${picked} of 5000`);
});

test('a service without weight gets no calls', (t) => {
  const split = route([
    {service: 'old', weight: 0},
    {service: 'new', weight: 1},
  ]);
  t.is(pickService(split, 'a'), 'new');
});

test('a route without services has none', (t) => {
  t.is(pickService(route([]), 'a'), undefined);
});
