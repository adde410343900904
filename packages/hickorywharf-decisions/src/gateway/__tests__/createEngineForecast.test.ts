import test from 'ava';
import {createEngineForecast} from '../createEngineForecast.ts';

const engine = {id: 'e', startedAt: 1};
const limits = {slots: 4, capacityTokens: 50_000};
const idle = {running: 0, pendingTokens: 0, memoryTokens: 0};
const call = {promptTokens: 5000, uncachedTokens: 2500, outputTokens: 50};
const work = {running: 3, pendingTokens: 5000, memoryTokens: 15_000};

test('the speed of an engine is learnt, fades, and is forgotten at a restart', (t) => {
  const forecasts = createEngineForecast();
  const forecast = (now: number, startedAt = 1) =>
    forecasts.forecast({...engine, startedAt}, idle, limits, call, now)
      .firstEventMilliseconds;
  const usual = forecast(0);
  const state = forecasts.getState(engine, idle, limits, 0);
  for (let count = 0; count < 20; count += 1) {
    forecasts.recordFirstEvent(engine, state, call, usual * 2.7, 0);
  }
  t.true(forecast(0) > usual * 2.4);
  t.true(forecast(60_000) < usual * 1.2);
  t.is(forecast(0, 2), usual);
});

test('the work of others is added without that of this instance, and ages', (t) => {
  const hub = createEngineForecast();
  const member = createEngineForecast();
  const reported = member.getReport(engine, work, 0)!;
  member.recordOwn([reported], 0);
  hub.recordReport('member', [reported], 0);
  hub.recordReport('other', [hub.getReport(engine, work, 0)!], 0);
  hub.recordOwn([], 0);
  const totals = hub.addTotals([], 0)!;
  t.is(totals.instances, 3);
  member.recordTotals('hub', totals, 10);
  t.is(member.getState(engine, work, limits, 10).running, 6);
  t.is(member.getState(engine, idle, limits, 10).running, 3);
  t.is(hub.getState(engine, idle, limits, 10).running, 6);
  t.is(member.getState({id: 'e', startedAt: 2}, idle, limits, 10).running, 0);
  t.is(member.getState(engine, work, limits, 2000).running, 3, 'aged');
  t.is(hub.addTotals([], 2000), null);
  const {pendingTokens} = member.getState(engine, work, limits, 60);
  t.true(pendingTokens < 10_000 && pendingTokens >= 5000, 'read meanwhile');
});

test('a call waits for a slot and for memory', (t) => {
  const forecasts = createEngineForecast();
  const start = (own: typeof idle) =>
    forecasts.forecast(engine, own, limits, call, 0).startMilliseconds;
  t.is(start(idle), 0);
  t.true(start({...idle, running: 4}) > 0);
  t.true(start({...idle, memoryTokens: 49_000}) > 0);
});
