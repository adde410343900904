import test from 'ava';
import {createEndpointLoads} from '../createEndpointLoads.ts';
import {createEngineWork} from '../createEngineWork.ts';

type Options = Parameters<typeof createEngineWork>[0];
type Call = Parameters<ReturnType<typeof createEngineWork>['startCall']>[1];
type Endpoint = Parameters<ReturnType<typeof createEngineWork>['startCall']>[0];

const engines = ['e1', 'e2'].map((id) => ({
  id,
  service: 'model',
  startedAt: 1,
  failureDomain: 'a',
})) as unknown as Endpoint[];
const call = {
  id: 'r',
  promptTokens: 4000,
  outputTokens: 50,
  promptParts: [{id: 'own', tokens: 4000}],
} as unknown as Call;

function createWork() {
  const engine = {slots: 2, capacityTokens: 400_000};
  const services = new Map([
    ['model', {engine}],
    ['desk', {engine: null}],
  ]);
  return createEngineWork({
    state: {
      configuration: {services},
      directory: {list: () => engines, getUsable: () => engines},
    },
    loads: createEndpointLoads(),
    log: {infoRateLimited: () => undefined},
    metrics: {count: () => undefined},
    now: () => 1000,
  } as unknown as Options);
}

test('a burst of long prompts raises the forecast, and calls go to the idle engine', (t) => {
  const work = createWork();
  const [busy, idle] = engines as [Endpoint, Endpoint];
  const usual = work.estimateFirstEvent(call, engines);
  const context = {firstEventDeadlineAt: 2000};
  t.true(work.canBegin(call, busy, context));
  const sent = Array.from({length: 40}, () => work.startCall(busy, call));
  t.true(work.estimateFirstEvent(call, [busy]) > 2000);
  t.is(work.estimateFirstEvent(call, engines), usual, 'one is idle');
  t.false(work.canBegin(call, busy, context));
  t.true(work.canBegin(call, idle, context));
  t.true(work.canBegin(call, {...busy, service: 'desk'}, context));
  const candidates = engines.map((endpoint) => ({
    endpoint,
    penaltyMilliseconds: 0,
  }));
  const placement = {call, failureDomain: 'a', results: [], resultBytes: 0};
  t.is(work.choose(candidates, placement)?.id, 'e2');
  t.deepEqual(
    work.listReports().map(({endpointId, running}) => [endpointId, running]),
    [['e1', 40]],
  );
  for (const {end} of sent) end();
  t.is(work.estimateFirstEvent(call, [busy]), usual);
});
