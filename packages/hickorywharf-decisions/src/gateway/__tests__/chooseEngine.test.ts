import test from 'ava';
import {chooseEngine} from '../chooseEngine.ts';

const ids = ['e1', 'e2', 'e3', 'e4'];
const idle = ids.map((id) => ({
  id,
  failureDomain: id < 'e3' ? 'a' : 'b',
  pendingTokens: 0,
  running: 0,
  memoryTokens: 0,
  slowness: 1,
  slots: 64,
  capacityTokens: 400_000,
  penaltyMilliseconds: 0,
}));

const demand = (session: string, failureDomain = 'a') => ({
  parts: [
    {id: 'shared', tokens: 2500},
    {id: session, tokens: 3800},
    {id: 'own', tokens: 2900},
  ],
  promptTokens: 9200,
  outputTokens: 50,
  failureDomain,
  results: [],
  resultBytes: 0,
});

test('all instances send a session to the same endpoint', (t) => {
  for (const session of ['s1', 's2', 's3', 's4', 's5']) {
    t.is(
      chooseEngine(idle, demand(session, 'a'))?.id,
      chooseEngine([...idle].reverse(), demand(session, 'b'))?.id,
    );
  }
});

test('a session moves if its endpoint is too busy', (t) => {
  const owner = chooseEngine(idle, demand('s1'))!.id;
  const busy = (pendingTokens: number) =>
    idle.map((engine) =>
      engine.id === owner ? {...engine, pendingTokens} : engine,
    );
  t.is(chooseEngine(busy(2000), demand('s1'))?.id, owner);
  t.not(chooseEngine(busy(50_000), demand('s1'))?.id, owner);
});

test('a failing endpoint is avoided', (t) => {
  const owner = chooseEngine(idle, demand('s1'))!.id;
  const engines = idle.map((engine) =>
    engine.id === owner ? {...engine, penaltyMilliseconds: 400} : engine,
  );
  t.not(chooseEngine(engines, demand('s1'))?.id, owner);
});

test('a session leaves an engine whose slots or memory are full', (t) => {
  const owner = chooseEngine(idle, demand('s1'))!.id;
  for (const full of [{running: 100}, {memoryTokens: 900_000}]) {
    const engines = idle.map((engine) =>
      engine.id === owner ? {...engine, ...full} : engine,
    );
    t.not(chooseEngine(engines, demand('s1'))?.id, owner);
  }
});

test('a long prompt goes where fewer calls run beside it', (t) => {
  const long = {
    ...demand('s1'),
    parts: [{id: 'own', tokens: 20_000}],
    promptTokens: 20_000,
  };
  const owner = chooseEngine(idle, long)!.id;
  const engines = idle.map((engine) =>
    engine.id === owner ? {...engine, running: 10} : engine,
  );
  t.not(chooseEngine(engines, long)?.id, owner);
});

test('a call runs in the failure domain of its large results', (t) => {
  const withResults = {
    ...demand('s1'),
    parts: [{id: 'own', tokens: 500}],
    results: ['b', 'b', 'b'],
    resultBytes: 3_000_000,
  };
  t.is(chooseEngine(idle, withResults)?.failureDomain, 'b');
});

test('without endpoints none is chosen', (t) => {
  t.is(chooseEngine([], demand('s1')), undefined);
});
