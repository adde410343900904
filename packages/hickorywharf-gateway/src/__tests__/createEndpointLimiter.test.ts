import test from 'ava';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {ResponseHead} from 'hickorywharf-types/gateway/responseHead';
import {createEndpointLimiter} from '../createEndpointLimiter.ts';
import {createGatewayMetrics} from '../createGatewayMetrics.ts';
import {createGatewayState} from '../createGatewayState.ts';

const endpoint: GatewayEndpoint = {
  id: 'desk-1',
  service: 'desk',
  host: 'h',
  port: 1,
  failureDomain: 'a',
  isDraining: false,
  startedAt: 1,
  version: 'v1',
  slots: 1,
};
const other = {...endpoint, id: 'desk-2'};

function createTestLimiter() {
  const lines: Array<Readonly<Record<string, unknown>>> = [];
  const write = (message: string, fields: object) =>
    void lines.push({message, ...fields});
  const metrics = createGatewayMetrics();
  let time = 0;
  const state = createGatewayState({
    name: 'x',
    failureDomain: 'a',
    capacity: 1,
    lapseMilliseconds: 2000,
  });
  const limiter = createEndpointLimiter({
    name: 'x',
    incarnation: 'x-1',
    state,
    log: {infoRateLimited: write, infoAlways: write},
    metrics,
    onLeaving: () => undefined,
    now: () => time,
  });
  const turnAway = (
    retryAfter: ResponseHead['retryAfter'],
    changes: Partial<ResponseHead> = {},
  ) =>
    limiter.recordHead(endpoint, {
      status: 503,
      requestId: null,
      isSigned: false,
      isNotRun: true,
      isEncoded: false,
      isEventStream: false,
      isMisdirected: false,
      isLeaving: false,
      rateLimit: {tag: 'none'},
      retryAfter,
      headers: [],
      ...changes,
    });
  const advance = (milliseconds: number): void => void (time += milliseconds);
  return {limiter, state, lines, metrics, turnAway, advance};
}

test('a pause counts in the wait for an endpoint and in the estimate for its service', (t) => {
  const {limiter, turnAway, advance} = createTestLimiter();
  turnAway({tag: 'named', milliseconds: 2000});
  t.is(limiter.getWait(endpoint), 2000);
  t.is(limiter.reserve(endpoint), 2000);
  t.is(limiter.estimateWait('desk', [endpoint]), 2000);
  t.is(limiter.estimateWait('desk', [endpoint, other]), 0);
  advance(1500);
  t.is(limiter.getPause(endpoint), 500);
  advance(500);
  t.is(limiter.getWait(endpoint), 0);
  t.is(limiter.estimateWait('desk', [endpoint]), 0);
});

test('only a response of status 503 from the named endpoint states a pause', (t) => {
  const {limiter, turnAway} = createTestLimiter();
  const named = {tag: 'named', milliseconds: 2000} as const;
  turnAway(named, {status: 429});
  turnAway(named, {status: 200});
  turnAway(named, {isMisdirected: true});
  t.is(limiter.getPause(endpoint), 0);
});

test('a pause that is not readable changes nothing and leaves a line', (t) => {
  const {limiter, lines, metrics, turnAway} = createTestLimiter();
  turnAway({tag: 'named', milliseconds: 1000});
  turnAway({tag: 'unreadable', text: 'soon'});
  t.is(limiter.getPause(endpoint), 1000);
  t.is(lines.length, 2);
  t.like(lines[1], {
    message: 'endpoint pause not readable',
    peer: 'desk-1',
    text: 'soon',
  });
  t.regex(metrics.format(), /withdrawals_total\{kind="unreadable"\} 1/);
});

test('a pause that is too long leaves a line with what was stated and what holds', (t) => {
  const {lines, metrics, turnAway} = createTestLimiter();
  turnAway({tag: 'named', milliseconds: 31_536_000_000});
  t.like(lines[0], {
    message: 'endpoint paused',
    peer: 'desk-1',
    stated: 31_536_000_000,
    milliseconds: 600_000,
  });
  t.regex(metrics.format(), /withdrawals_total\{kind="bounded"\} 1/);
});

test('many calls that are turned away in a row do not fill the log', (t) => {
  const {lines, turnAway, advance} = createTestLimiter();
  for (let count = 0; count < 100; count += 1) {
    turnAway({tag: 'named', milliseconds: 2000});
    advance(1);
  }
  t.is(lines.length, 1);
});

test('a call that waits for its connection is withdrawn from an evacuated failure domain', (t) => {
  const {limiter, state} = createTestLimiter();
  t.false(limiter.isWithdrawn(endpoint));
  state.directory.setEvacuated(['a']);
  t.true(limiter.isWithdrawn(endpoint));
  t.false(limiter.isWithdrawn({...endpoint, failureDomain: 'b'}));
  t.is(limiter.getWait(endpoint), 0, 'no wait is told for what has no end');
});
