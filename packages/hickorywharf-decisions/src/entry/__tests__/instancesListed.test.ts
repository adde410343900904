import test from 'ava';
import type {Instance} from 'hickorywharf-types/instance';
import {createEntryCore} from '../createEntryCore.ts';

function createCore() {
  return createEntryCore({
    failureDomain: 'one',
    incarnation: 'entry',
    routingPolicy: 'twoChoices',
    homePartitionCount: 4,
    maximumRequests: 10,
    random: () => 0,
  });
}

function createInstance(name: string, failureDomain: string, port: number) {
  const instance: Instance = {
    name,
    role: 'endpoint',
    address: '127.0.0.1',
    port,
    failureDomain,
    state: 'live',
  };
  return instance;
}

test('endpoints stay when their failure domain disappears from the list', (t) => {
  const core = createCore();
  const instances = [
    createInstance('a', 'one', 1),
    createInstance('b', 'two', 2),
  ];
  core.handle({tag: 'instancesListed', instances}, 0);
  const lists = [[instances[0]!], []];
  for (const remaining of lists) {
    const event = {tag: 'instancesListed', instances: remaining} as const;
    t.deepEqual(core.handle(event, 1), []);
  }
});

test('an endpoint that is listed at another port is connected there', (t) => {
  const core = createCore();
  const instances = [createInstance('a', 'one', 1)];
  core.handle({tag: 'instancesListed', instances}, 0);
  const moved = [createInstance('a', 'one', 9)];
  const event = {tag: 'instancesListed', instances: moved} as const;
  t.deepEqual(core.handle(event, 1), [
    {tag: 'connect', endpoint: 'a', address: '127.0.0.1', port: 9},
  ]);
});
