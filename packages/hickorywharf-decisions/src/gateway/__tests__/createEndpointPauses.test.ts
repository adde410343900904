import test from 'ava';
import fc from 'fast-check';
import {createEndpointPauses} from '../createEndpointPauses.ts';

const endpoint = {id: 'desk-1', startedAt: 1};

test('a pause lasts for the time that was stated, and no longer', (t) => {
  const pauses = createEndpointPauses();
  t.is(pauses.getRemaining(endpoint, 0), 0);
  t.deepEqual(pauses.record(endpoint, 1500, 100), {
    beforeMilliseconds: 0,
    milliseconds: 1500,
    isBounded: false,
  });
  t.is(pauses.getRemaining(endpoint, 1599), 1);
  t.is(pauses.getRemaining(endpoint, 1600), 0);
});

test('a later and shorter statement does not end a pause early', (t) => {
  const pauses = createEndpointPauses();
  pauses.record(endpoint, 2000, 0);
  t.is(pauses.record(endpoint, 500, 100), null);
  t.is(pauses.record(endpoint, 0, 100), null);
  t.is(pauses.getRemaining(endpoint, 1000), 1000);
});

test('a pause is never shorter than any statement asks for, up to its bound', (t) => {
  const statement = fc.record({
    milliseconds: fc.double({min: 0, max: 10_000, noNaN: true}),
    at: fc.double({min: 0, max: 10_000, noNaN: true}),
  });
  fc.assert(
    fc.property(fc.array(statement), (statements): void => {
      const pauses = createEndpointPauses();
      const inOrder = statements.toSorted((left, right) => left.at - right.at);
      for (const {milliseconds, at} of inOrder) {
        pauses.record(endpoint, milliseconds, at);
      }
      const end = Math.max(0, ...inOrder.map((s) => s.at + s.milliseconds));
      const last = inOrder.at(-1)?.at ?? 0;
      const remaining = pauses.getRemaining(endpoint, last);
      t.true(Math.abs(remaining - Math.max(0, end - last)) < 1e-6);
    }),
  );
});

test('an endpoint that states years is used again after the longest pause', (t) => {
  const pauses = createEndpointPauses();
  for (const stated of [1e11, Infinity]) {
    const change = pauses.record({id: `${stated}`, startedAt: 1}, stated, 0);
    t.true(change?.isBounded);
    t.is(change?.milliseconds, 600_000);
    t.is(pauses.getRemaining({id: `${stated}`, startedAt: 1}, 600_000), 0);
  }
});

test('a pause binds one incarnation of the endpoint', (t) => {
  const pauses = createEndpointPauses();
  pauses.record(endpoint, 5000, 0);
  t.is(pauses.getRemaining({...endpoint, startedAt: 2}, 0), 0);
  // A late response of the former incarnation.
  pauses.record({...endpoint, startedAt: 2}, 100, 10);
  pauses.record(endpoint, 9000, 20);
  t.is(pauses.getRemaining({...endpoint, startedAt: 2}, 200), 0);
});
