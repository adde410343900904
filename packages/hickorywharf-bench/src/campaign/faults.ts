import {sleep} from 'hickorywharf-utils/sleep';
import type {Fault} from './fault.ts';
import type {FaultEnvironment} from './faultEnvironment.ts';
import {setStoreFaults} from './setStoreFaults.ts';

type InjectFault = Fault['inject'];

const SLOW_STORE_MILLISECONDS = 700;
/** Long enough to reconnect, so that each reset hits active streams. */
const RESET_INTERVAL_MILLISECONDS = 250;
const LOST_RESPONSES = 5;
const DROPPED_EVENTS = 5;
/** Longer than the home intervals of a campaign, which expire meanwhile. */
const INTERVAL_EXPIRY_MILLISECONDS = 4500;

/**
 * Restarts a process. The balancer drops an entry as soon as it is down, and
 * sends to it again once it is ready.
 */
async function restart(
  {deployment, balancedEntries}: FaultEnvironment,
  target: string,
): Promise<void> {
  await deployment.start(target);
  if (!deployment.entryUrls.has(target)) return;
  await deployment.waitUntilReady();
  balancedEntries.add(target);
}

const kill: InjectFault = async (environment, target, milliseconds) => {
  const {deployment, balancedEntries} = environment;
  await deployment.kill(target);
  balancedEntries.delete(target);
  await sleep(milliseconds);
  await restart(environment, target);
};

const stopPlanned: InjectFault = async (environment, target, milliseconds) => {
  const {deployment, balancedEntries} = environment;
  const stopped = deployment.stopOne(target);
  if (deployment.entryUrls.has(target)) balancedEntries.delete(target);
  else {
    const {history} = deployment;
    history.record({tag: 'endpointLeaving', endpoint: target, signal: 'stop'});
  }
  await stopped;
  await sleep(milliseconds);
  await restart(environment, target);
};

const pause: InjectFault = async ({deployment}, target, milliseconds) => {
  deployment.pause(target);
  await sleep(milliseconds);
  deployment.resume(target);
};

function resetRepeatedly(
  relay: FaultEnvironmentRelay,
  milliseconds: number,
): void {
  const resets = Math.ceil(milliseconds / RESET_INTERVAL_MILLISECONDS);
  for (let count = 0; count < resets; count += 1) {
    setTimeout(() => relay.reset(), count * RESET_INTERVAL_MILLISECONDS);
  }
}

/** Creates a fault of one endpoint's connections; records start and end. */
function createConnectionFault(
  fault: string,
  startFault: (relay: FaultEnvironmentRelay, milliseconds: number) => void,
): InjectFault {
  return async ({deployment, relays}, target, milliseconds) => {
    const {history} = deployment;
    const relay = relays.get(target)!;
    history.record({tag: 'faultBegan', fault, target});
    startFault(relay, milliseconds);
    await sleep(milliseconds);
    relay.setMode('pass');
    history.record({tag: 'faultEnded', fault, target});
  };
}

type FaultEnvironmentRelay =
  FaultEnvironment['relays'] extends ReadonlyMap<string, infer Relay>
    ? Relay
    : never;

/** Creates a fault of the store; records start and end. */
function createStoreFault(
  fault: string,
  faultySettings: Readonly<Record<string, boolean | number>>,
  normalSettings: Readonly<Record<string, boolean | number>>,
): InjectFault {
  return async ({deployment}, _target, milliseconds) => {
    const {history, storeUrl} = deployment;
    history.record({tag: 'faultBegan', fault, target: null});
    await setStoreFaults(storeUrl, faultySettings);
    await sleep(milliseconds);
    await setStoreFaults(storeUrl, normalSettings);
    history.record({tag: 'faultEnded', fault, target: null});
  };
}

const drain: InjectFault = async (
  {deployment, drainedEndpoints},
  target,
  milliseconds,
) => {
  drainedEndpoints.add(target);
  await deployment.apply(new Set(drainedEndpoints));
  await sleep(milliseconds);
  drainedEndpoints.delete(target);
  await deployment.apply(new Set(drainedEndpoints));
};

/** Concurrent operators: two changes drain the endpoint, a third does not. */
const raceOperators: InjectFault = async (
  environment,
  target,
  milliseconds,
) => {
  const {deployment, drainedEndpoints} = environment;
  const others = new Set(drainedEndpoints);
  drainedEndpoints.add(target);
  await Promise.all([
    deployment.apply(new Set(drainedEndpoints)),
    deployment.apply(others),
    deployment.apply(new Set(drainedEndpoints)),
  ]);
  await sleep(milliseconds);
  drainedEndpoints.delete(target);
  await deployment.apply(new Set(drainedEndpoints));
};

const loseFromList: InjectFault = async (
  {deployment},
  target,
  milliseconds,
) => {
  await deployment.list(target, false);
  await sleep(milliseconds);
  await deployment.list(target, true);
};

/** The faults that a campaign may inject, by name. */
export const faults = {
  'kill-entry': {targets: 'entry', inject: kill},
  'kill-endpoint': {targets: 'endpoint', inject: kill},
  'pause-entry': {targets: 'entry', inject: pause},
  'pause-endpoint': {targets: 'endpoint', inject: pause},
  'stop-entry': {targets: 'entry', inject: stopPlanned},
  'stop-endpoint': {targets: 'endpoint', inject: stopPlanned},
  'delay-connections': {
    targets: 'endpoint',
    inject: createConnectionFault('delay-connections', (relay) =>
      relay.setMode('delay'),
    ),
  },
  'hold-connections': {
    targets: 'endpoint',
    inject: createConnectionFault('hold-connections', (relay) =>
      relay.setMode('hold'),
    ),
  },
  'reset-connections': {
    targets: 'endpoint',
    inject: createConnectionFault('reset-connections', (relay, milliseconds) =>
      resetRepeatedly(relay, milliseconds),
    ),
  },
  'half-close-connections': {
    targets: 'endpoint',
    inject: createConnectionFault('half-close-connections', (relay) =>
      relay.halfClose('server'),
    ),
  },
  'store-down': {
    targets: 'store',
    inject: createStoreFault(
      'store-down',
      {unavailable: true},
      {unavailable: false},
    ),
  },
  'store-slow': {
    targets: 'store',
    inject: createStoreFault(
      'store-slow',
      {latencyMilliseconds: SLOW_STORE_MILLISECONDS},
      {latencyMilliseconds: 0},
    ),
  },
  'store-loses-answers': {
    targets: 'store',
    inject: createStoreFault(
      'store-loses-answers',
      {loseWriteAnswers: LOST_RESPONSES},
      {loseWriteAnswers: 0},
    ),
  },
  'store-drops-events': {
    targets: 'store',
    inject: createStoreFault(
      'store-drops-events',
      {dropWatchEvents: DROPPED_EVENTS},
      {dropWatchEvents: 0},
    ),
  },
  'lapse-home': {
    targets: 'desk',
    inject: (environment, target) =>
      pause(environment, target, INTERVAL_EXPIRY_MILLISECONDS),
  },
  'drain-endpoint': {targets: 'endpoint', inject: drain},
  'race-operators': {targets: 'endpoint', inject: raceOperators},
  'lose-from-list': {targets: 'endpoint', inject: loseFromList},
} as const satisfies Readonly<Record<string, Fault>>;
