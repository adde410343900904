import {sleep} from 'hickorywharf-utils/sleep';
import type {Fault} from './fault.ts';
import type {FaultEnvironment} from './faultEnvironment.ts';
import {setStoreFaults} from './setStoreFaults.ts';

type Strike = Fault['strike'];

const SLOW_STORE_MILLISECONDS = 700;
/** Long enough for a reconnection, so that each reset cuts live streams. */
const RESET_PAUSE_MILLISECONDS = 250;
const LOST_ANSWERS = 5;
const DROPPED_EVENTS = 5;
/** Longer than the intervals of the homes in a campaign. */
const LAPSE_MILLISECONDS = 4500;

/** The balancer notices a lost entry at once and a new one when it is ready. */
async function startAnew(
  {deployment, balanced}: FaultEnvironment,
  target: string,
): Promise<void> {
  await deployment.start(target);
  if (!deployment.entryUrls.has(target)) return;
  await deployment.waitUntilReady();
  balanced.add(target);
}

const kill: Strike = async (environment, target, milliseconds) => {
  const {deployment, balanced} = environment;
  await deployment.kill(target);
  balanced.delete(target);
  await sleep(milliseconds);
  await startAnew(environment, target);
};

const stopPlanned: Strike = async (environment, target, milliseconds) => {
  const {deployment, balanced} = environment;
  const stopped = deployment.stopOne(target);
  if (deployment.entryUrls.has(target)) balanced.delete(target);
  else {
    const {history} = deployment;
    history.record({tag: 'endpointLeaving', endpoint: target, signal: 'stop'});
  }
  await stopped;
  await sleep(milliseconds);
  await startAnew(environment, target);
};

const pause: Strike = async ({deployment}, target, milliseconds) => {
  deployment.pause(target);
  await sleep(milliseconds);
  deployment.resume(target);
};

function resetRepeatedly(
  relay: FaultEnvironmentRelay,
  milliseconds: number,
): void {
  const resets = Math.ceil(milliseconds / RESET_PAUSE_MILLISECONDS);
  for (let count = 0; count < resets; count += 1) {
    setTimeout(() => relay.reset(), count * RESET_PAUSE_MILLISECONDS);
  }
}

/** A fault of one endpoint's connections, recorded with its times. */
function strikeConnections(
  fault: string,
  begin: (relay: FaultEnvironmentRelay, milliseconds: number) => void,
): Strike {
  return async ({deployment, relays}, target, milliseconds) => {
    const {history} = deployment;
    const relay = relays.get(target)!;
    history.record({tag: 'faultBegan', fault, target});
    begin(relay, milliseconds);
    await sleep(milliseconds);
    relay.setMode('pass');
    history.record({tag: 'faultEnded', fault, target});
  };
}

type FaultEnvironmentRelay =
  FaultEnvironment['relays'] extends ReadonlyMap<string, infer Relay>
    ? Relay
    : never;

/** A fault of the store, recorded with its times. */
function strikeStore(
  fault: string,
  wrong: Readonly<Record<string, boolean | number>>,
  right: Readonly<Record<string, boolean | number>>,
): Strike {
  return async ({deployment}, _target, milliseconds) => {
    const {history, storeUrl} = deployment;
    history.record({tag: 'faultBegan', fault, target: null});
    await setStoreFaults(storeUrl, wrong);
    await sleep(milliseconds);
    await setStoreFaults(storeUrl, right);
    history.record({tag: 'faultEnded', fault, target: null});
  };
}

const drain: Strike = async ({deployment, drained}, target, milliseconds) => {
  drained.add(target);
  await deployment.apply(new Set(drained));
  await sleep(milliseconds);
  drained.delete(target);
  await deployment.apply(new Set(drained));
};

/** Two operators at once: one drains the endpoint, the other does not. */
const raceOperators: Strike = async (environment, target, milliseconds) => {
  const {deployment, drained} = environment;
  const others = new Set(drained);
  drained.add(target);
  await Promise.all([
    deployment.apply(new Set(drained)),
    deployment.apply(others),
    deployment.apply(new Set(drained)),
  ]);
  await sleep(milliseconds);
  drained.delete(target);
  await deployment.apply(new Set(drained));
};

const loseFromList: Strike = async ({deployment}, target, milliseconds) => {
  await deployment.list(target, false);
  await sleep(milliseconds);
  await deployment.list(target, true);
};

/** The faults of a campaign by name. */
export const faults = {
  'kill-entry': {targets: 'entry', strike: kill},
  'kill-endpoint': {targets: 'endpoint', strike: kill},
  'pause-entry': {targets: 'entry', strike: pause},
  'pause-endpoint': {targets: 'endpoint', strike: pause},
  'stop-entry': {targets: 'entry', strike: stopPlanned},
  'stop-endpoint': {targets: 'endpoint', strike: stopPlanned},
  'delay-connections': {
    targets: 'endpoint',
    strike: strikeConnections('delay-connections', (relay) =>
      relay.setMode('delay'),
    ),
  },
  'hold-connections': {
    targets: 'endpoint',
    strike: strikeConnections('hold-connections', (relay) =>
      relay.setMode('hold'),
    ),
  },
  'reset-connections': {
    targets: 'endpoint',
    strike: strikeConnections('reset-connections', (relay, milliseconds) =>
      resetRepeatedly(relay, milliseconds),
    ),
  },
  'half-close-connections': {
    targets: 'endpoint',
    strike: strikeConnections('half-close-connections', (relay) =>
      relay.halfClose('server'),
    ),
  },
  'store-down': {
    targets: 'store',
    strike: strikeStore(
      'store-down',
      {unavailable: true},
      {unavailable: false},
    ),
  },
  'store-slow': {
    targets: 'store',
    strike: strikeStore(
      'store-slow',
      {latencyMilliseconds: SLOW_STORE_MILLISECONDS},
      {latencyMilliseconds: 0},
    ),
  },
  'store-loses-answers': {
    targets: 'store',
    strike: strikeStore(
      'store-loses-answers',
      {loseWriteAnswers: LOST_ANSWERS},
      {loseWriteAnswers: 0},
    ),
  },
  'store-drops-events': {
    targets: 'store',
    strike: strikeStore(
      'store-drops-events',
      {dropWatchEvents: DROPPED_EVENTS},
      {dropWatchEvents: 0},
    ),
  },
  'lapse-home': {
    targets: 'desk',
    strike: (environment, target) =>
      pause(environment, target, LAPSE_MILLISECONDS),
  },
  'drain-endpoint': {targets: 'endpoint', strike: drain},
  'race-operators': {targets: 'endpoint', strike: raceOperators},
  'lose-from-list': {targets: 'endpoint', strike: loseFromList},
} as const satisfies Readonly<Record<string, Fault>>;
