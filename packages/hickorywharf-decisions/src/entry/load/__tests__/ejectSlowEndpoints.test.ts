import test from 'ava';
import type {ConfigurationView} from '../../../configuration/configurationView.ts';
import {createEntryCore} from '../../createEntryCore.ts';
import {ejectSlowEndpoints} from '../../systems/ejectSlowEndpoints.ts';
import {getOrCreateLatencyRow} from '../getOrCreateLatencyRow.ts';

const NAMES = ['engine-1', 'engine-2', 'engine-3', 'engine-4', 'engine-5'];

function createState() {
  const {state} = createEntryCore({
    failureDomain: 'a',
    incarnation: 'entry',
    routingPolicy: 'cost',
    policies: {admission: 'estimate', ejection: 'slowness', hedging: 'late'},
    homePartitionCount: 4,
    maximumRequests: 10,
    random: () => 0,
  });
  const endpoints = new Map(
    NAMES.map((name) => [
      name,
      {
        kind: 'endpoint' as const,
        schemaVersion: 1,
        name,
        pool: 'engines',
        half: null,
        draining: false,
      },
    ]),
  );
  const view: ConfigurationView = {
    sequence: 1,
    pipelines: new Map(),
    routes: new Map(),
    accountsByKeyHash: new Map(),
    endpoints,
    halfMoves: new Map(),
    assignmentSequence: 0,
    endpointsByPool: new Map([['engines', [...endpoints.values()]]]),
  };
  state.configuration = view;
  for (const key of NAMES) getOrCreateLatencyRow(state.load, key).samples = 10;
  return state;
}

function getEjected(state: ReturnType<typeof createState>, now: number) {
  return NAMES.filter(
    (name) => getOrCreateLatencyRow(state.load, name).ejectedUntil > now,
  );
}

test('a slow endpoint is ejected, then on probation', (t) => {
  const state = createState();
  getOrCreateLatencyRow(state.load, 'engine-2').slowness = 10;
  ejectSlowEndpoints(state, 1000);
  t.deepEqual(getEjected(state, 1000), ['engine-2']);
  t.deepEqual(getEjected(state, 7000), []);
  t.true(getOrCreateLatencyRow(state.load, 'engine-2').isOnProbation);
});

test('no more than a share of a pool is ejected', (t) => {
  const state = createState();
  getOrCreateLatencyRow(state.load, 'engine-1').slowness = 20;
  getOrCreateLatencyRow(state.load, 'engine-2').slowness = 10;
  ejectSlowEndpoints(state, 1000);
  t.is(getEjected(state, 1000).length, 1);
});
