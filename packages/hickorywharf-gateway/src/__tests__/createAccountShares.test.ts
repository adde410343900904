import test from 'ava';
import {encodeFrame} from 'hickorywharf-transport/encodeFrame';
import {createFrameReader} from 'hickorywharf-transport/createFrameReader';
import {createAccountShares} from '../createAccountShares.ts';
import type {CallContext} from '../callContext.ts';
import {createGatewayLog} from '../createGatewayLog.ts';
import {createGatewayMetrics} from '../createGatewayMetrics.ts';
import {createGatewayState} from '../createGatewayState.ts';

const TARGET_MILLISECONDS = 1000;

function createShares() {
  const state = createGatewayState({
    name: 'x',
    failureDomain: 'a',
    capacity: 1,
    lapseMilliseconds: 2000,
  });
  state.configuration = {
    version: 1,
    routes: [],
    services: new Map(),
    accountsByKey: null,
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerMilliseconds: 1,
      idleMilliseconds: 1,
    },
  };
  const metrics = createGatewayMetrics();
  const now = () => 0;
  const log = createGatewayLog('x', now, process.stderr, () => {});
  const shares = createAccountShares({state, log, metrics, now});
  return {shares, metrics};
}

/** A call of 200 ms at the engine and without stages. */
const createContext = (account: string | null, id = 'r') =>
  ({
    account,
    call: {id, pieces: [], promptTokens: 4000},
    route: {stages: []},
    targetAt: TARGET_MILLISECONDS,
    deadlineAt: 6000,
    isEnded: false,
    cleanups: new Set(),
  }) as unknown as CallContext;

/** The standing for which `forecast` takes the forecast of a call. */
function getAsked(
  {shares}: ReturnType<typeof createShares>,
  account: string | null,
  totalMilliseconds: number,
): boolean | null {
  let asked: boolean | null = null;
  shares.forecast(createContext(account), (isOverShare) => {
    asked = isOverShare;
    return {timelyMilliseconds: 100, totalMilliseconds};
  });
  return asked;
}

test('accounts matter only while room is short, and calls need keys', (t) => {
  const created = createShares();
  const {shares} = created;
  const calls = Array.from({length: 9}, () => createContext('large'));
  for (const context of calls) shares.startCall(context);
  shares.startCall(createContext('small'));
  shares.refuse(createContext('small'), 500);
  t.is(getAsked(created, 'large', TARGET_MILLISECONDS), null);
  t.is(getAsked(created, null, 5000), null);
  t.is(getAsked(created, 'large', 5000), true);
  t.is(getAsked(created, 'small', 5000), false);
  t.is(shares.refuse(createContext(null), 500), 500);
  for (const {cleanups} of calls) for (const cleanup of cleanups) cleanup();
  const report = shares.createReportFields().accountWork;
  t.deepEqual(report?.accounts, [['small', 200, 200]]);
});

test('figures of peers count, and are told on by those who receive them', (t) => {
  const peer = createShares().shares;
  const dispatcher = createShares();
  t.deepEqual(peer.createReportFields(), {});
  peer.startCall(createContext('large'));
  peer.refuse(createContext('small'), 500);
  const frame = {tag: 'heartbeat', ...peer.createReportFields()} as const;
  dispatcher.shares.recordFrame('peer', frame);
  t.is(getAsked(dispatcher, 'small', 5000), false);
  t.true(dispatcher.metrics.format().includes('account_shares_total'));
  const other = createShares().shares;
  const status = {
    tag: 'stageWaits',
    ...dispatcher.shares.createSumFields(),
  } as const;
  t.is(status.accountWork?.instances, 2);
  other.recordFrame('dispatcher', status);
  t.not(other.createReportFields().accountWork, undefined);
});

test('a heartbeat with the figures of 1300 accounts is small, and is read', (t) => {
  const {shares} = createShares();
  for (let index = 0; index < 1300; index += 1) {
    shares.startCall(createContext(`account-${index}`));
    shares.refuse(createContext(`account-${index}`), 500);
  }
  const fields = shares.createReportFields();
  const heartbeat = {
    tag: 'heartbeat',
    leaving: false,
    load: null,
    configurationSequence: 0,
    ...fields,
  } as const;
  const bytes = encodeFrame(heartbeat);
  t.true(bytes.length < 500, `${bytes.length} bytes`);
  const [frame] = createFrameReader('peer').read(bytes)._unsafeUnwrap();
  t.like(frame, fields);
});
