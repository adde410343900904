import test from 'ava';
import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import {admitCall} from '../admitCall.ts';
import {createGatewayState} from '../createGatewayState.ts';
import {createStateUpdater} from '../createStateUpdater.ts';

const LIMITS = {applyMilliseconds: 3000, revokeMilliseconds: 5000};

const ROUTE = {
  host: 'desk.example',
  kind: 'read',
  timeoutMilliseconds: 1000,
  targetMilliseconds: 100,
  priority: 1,
  services: [{service: 'desk', weight: 1}],
  maximumEndpoints: 2,
  stages: [],
  isSticky: false,
  canResume: false,
} as const;

const CONFIGURATION: GatewayConfiguration = {
  version: 7,
  routes: [
    {...ROUTE, name: 'keyed', prefix: '/keyed/', isPublic: false},
    {...ROUTE, name: 'open', prefix: '/open/', isPublic: true},
  ],
  services: new Map([
    ['desk', {name: 'desk', maximumConnections: 9, stage: null, engine: null}],
  ]),
  limits: {
    headerBytes: 1,
    bodyBytes: 1,
    headerMilliseconds: 1,
    idleMilliseconds: 1,
  },
  accountsByKey: new Map([['key', {name: 'account', priority: null}]]),
};

/** An instance whose configuration was read at time 0. */
function createInstance() {
  const state = createGatewayState({
    name: 'x',
    failureDomain: 'a',
    capacity: 1,
    lapseMilliseconds: 2000,
  });
  const updater = createStateUpdater({
    onEndpointsConfirmed: () => undefined,
    state,
    getInstant: () => ({monotonic: 0, wall: 0}),
    onChange() {},
    onEndpointRemoved() {},
    onEndpointRestarted() {},
    metrics: {count() {}, time() {}},
    log: {infoAlways() {}, infoRateLimited() {}},
  });
  updater.applyConfiguration(CONFIGURATION, {monotonic: 0, wall: 0});
  /** The refusal of a request at a time, or 'admitted'. */
  function admit(time: number, path: string, key: string | null): string {
    const settings = {...LIMITS} as Parameters<typeof admitCall>[1];
    const call = {id: 'r', key} as Parameters<typeof admitCall>[2]['call'];
    return admitCall(state, settings, {
      call,
      method: 'GET',
      host: 'desk.example',
      target: path,
      receivedAt: {monotonic: time, wall: time},
    }).match(
      () => 'admitted',
      ({tag}) => tag,
    );
  }
  return {updater, admit};
}

test('an outage of the store alone does not stop calls without a key', (t) => {
  const {admit} = createInstance();
  t.is(admit(4400, '/keyed/', 'key'), 'admitted');
  t.is(admit(4600, '/keyed/', 'key'), 'unconfirmed');
  t.is(admit(600_000, '/open/', null), 'admitted');
});

test('a configuration decides nothing after its time if a newer one is known', (t) => {
  const {updater, admit} = createInstance();
  updater.recordPeerVersion(8, 'peer');
  t.is(admit(2900, '/open/', null), 'admitted');
  t.is(admit(2900, '/keyed/', 'key'), 'admitted');
  t.is(admit(3000, '/open/', null), 'unconfirmed');
  t.is(admit(3000, '/keyed/', 'key'), 'unconfirmed');
  updater.recordPeerVersion(7, 'other');
  t.is(admit(3000, '/open/', null), 'unconfirmed');
});

test('a configuration decides nothing after its time if the store began to send a newer one', (t) => {
  const {updater, admit} = createInstance();
  updater.recordStoreVersion(7);
  t.is(admit(3000, '/open/', null), 'admitted');
  updater.recordStoreVersion(8);
  t.is(admit(2900, '/open/', null), 'admitted');
  t.is(admit(3000, '/open/', null), 'unconfirmed');
});

test('a request that a newer configuration may allow is not refused permanently', (t) => {
  const {updater, admit} = createInstance();
  t.is(admit(100, '/added/', 'key'), 'unknownRoute');
  t.is(admit(100, '/keyed/', 'added'), 'unauthenticated');
  updater.recordPeerVersion(8, 'peer');
  t.is(admit(100, '/added/', 'key'), 'unconfirmed');
  t.is(admit(100, '/keyed/', 'added'), 'unconfirmed');
  updater.applyConfiguration(
    {...CONFIGURATION, version: 8},
    {monotonic: 50, wall: 50},
  );
  t.is(admit(100, '/added/', 'key'), 'unknownRoute');
});
