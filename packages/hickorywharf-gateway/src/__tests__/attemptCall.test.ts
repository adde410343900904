import test from 'ava';
import {createEndpointHealth} from 'hickorywharf-decisions/gateway/createEndpointHealth';
import {attemptCall} from '../attemptCall.ts';
import {createEndpointLoads} from '../createEndpointLoads.ts';
import {createEventSplitter} from '../createEventSplitter.ts';
import {createMemoryBudget} from '../createMemoryBudget.ts';
import type {EndpointRequest} from '../endpointRequest.ts';

test('a call is not sent on a new connection if its endpoint withdrew meanwhile, and is not run', async (t) => {
  let request: EndpointRequest | undefined;
  let isWithdrawn = false;
  const health = createEndpointHealth();
  const result = attemptCall({
    context: {
      call: {id: 'r', promptTokens: 0, lastEventId: null},
      route: {isSticky: false},
      cleanups: new Set(),
      deadlineAt: 1000,
    },
    endpoint: {id: 'desk-1'},
    inputs: [],
    body: Buffer.alloc(0),
    relay: {isStarted: false},
    splitter: createEventSplitter(),
    wire: {formatCallHeaders: () => []},
    endpointClient: {
      send(sent: EndpointRequest) {
        request = sent;
        return {abort: () => undefined};
      },
    },
    health,
    limiter: {isWithdrawn: () => isWithdrawn},
    engines: {startCall: () => createEndpointLoads().startCall('desk-1', 0)},
    memory: createMemoryBudget({maximumBytes: 33_554_432, now: () => 0}),
    watch: {end: () => undefined},
    responseTimeoutMilliseconds: null,
    failover: {cancel: () => undefined},
    now: () => 0,
    onFirstEvent: () => undefined,
  } as unknown as Parameters<typeof attemptCall>[0]);
  t.true(request?.mayStillSend?.());
  isWithdrawn = true;
  t.false(request?.mayStillSend?.());
  request?.onFailure({tag: 'unsent', message: 'm'});
  t.is((await result).tag, 'notRun');
  t.is(health.getPenalty('desk-1', 0), 0, 'it is no failure');
});
