import test from 'ava';
import fc from 'fast-check';
import {createEngineReports} from '../createEngineReports.ts';

const figure = fc.oneof(
  fc.nat(),
  fc.double({min: 0, noNaN: true, noDefaultInfinity: true}),
);
const report = fc.record({
  endpointId: fc.constantFrom('e1', 'e2', '__proto__', ''),
  startedAt: fc.constantFrom(0, 1, 2),
  running: fc.nat(),
  pendingTokens: figure,
  memoryTokens: figure,
  observedMilliseconds: figure,
  expectedMilliseconds: figure,
});
const told = fc.record({
  peer: fc.constantFrom('a', 'b', 'c'),
  kind: fc.constantFrom('report', 'totals', 'own', 'remove'),
  engines: fc.array(report, {maxLength: 6}),
  instances: fc.nat(),
  now: fc.nat(5000),
});

test('odd reports, in any order, give figures of one incarnation that are not negative', (t) => {
  fc.assert(
    fc.property(fc.array(told, {maxLength: 30}), (list) => {
      const reports = createEngineReports();
      for (const {peer, kind, engines, instances, now} of list) {
        if (kind === 'report') reports.recordReport(peer, engines, now);
        if (kind === 'totals') {
          reports.recordTotals(peer, {instances, engines}, now);
        }
        if (kind === 'own') reports.recordOwn(engines, now);
        if (kind === 'remove') reports.removePeer(peer);
        for (const startedAt of [0, 1, 2]) {
          const others = reports.getOthers('e1', startedAt, now);
          if (others === null) continue;
          const {endpointId, ...figures} = others.report;
          t.is(endpointId, 'e1');
          t.is(figures.startedAt, startedAt);
          t.true(Object.values(figures).every((value) => value >= 0));
        }
        reports.addTotals(engines, now);
      }
    }),
  );
});

test('the sums over most instances count, and lost peers age out', (t) => {
  const reports = createEngineReports();
  const of = (running: number) => ({
    endpointId: 'e',
    startedAt: 1,
    running,
    pendingTokens: 0,
    memoryTokens: 0,
    observedMilliseconds: 0,
    expectedMilliseconds: 0,
  });
  const getRunning = (now: number) =>
    reports.getOthers('e', 1, now)?.report.running;
  reports.recordTotals('a', {instances: 20, engines: [of(30)]}, 0);
  reports.recordTotals('b', {instances: 3, engines: [of(5)]}, 100);
  t.is(getRunning(200), 30);
  t.is(getRunning(1050), 5, 'the first peer is silent');
  t.is(getRunning(2000), undefined);
  reports.recordTotals('a', {instances: 20, engines: [of(30)]}, 2000);
  reports.removePeer('a');
  t.is(getRunning(2000), undefined);
});
