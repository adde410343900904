import {chooseStoreReader} from 'hickorywharf-decisions/gateway/chooseStoreReader';
import type {Instant} from 'hickorywharf-decisions/gateway/instant';
import type {GatewayInstance} from 'hickorywharf-types/gateway/gatewayInstance';
import type {GatewaySettings} from 'hickorywharf-types/gateway/gatewaySettings';
import type {GatewaySource} from 'hickorywharf-types/gateway/gatewaySource';
import type {Result} from 'neverthrow';
import type {createPeerStateSync} from './createPeerStateSync.ts';
import type {createStateUpdater} from './createStateUpdater.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import type {GatewayState} from './gatewayState.ts';

interface FollowOptions {
  readonly source: GatewaySource;
  readonly state: GatewayState;
  readonly beliefs: ReturnType<typeof createStateUpdater>;
  readonly relay: ReturnType<typeof createPeerStateSync>;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  readonly settings: GatewaySettings;
  getInstant(): Instant;
  /** Whether another instance answers now. */
  isUp(name: string): boolean;
  /** An instance at an address known from the start, if one answers now. */
  findSeed(): string | undefined;
  /** Called with the other instances after each reading. */
  onInstances(others: readonly GatewayInstance[]): void;
}

/** One belief that is kept fresh, from the store or through others. */
interface Belief {
  /** The time in which a change binds, in milliseconds. */
  getBound(): number;
  getAge(): number;
  /** Reads the store; false where the read failed or found nothing. */
  read(): Promise<boolean>;
}

/** Of the time in which a change binds; one read may fail and come again. */
const READ_SHARE = 0.45;
/** The same for an instance that reads for others, as theirs comes on top. */
const SHARED_READ_SHARE = 0.3;
/** Of that time, the pause between two questions to another instance. */
const ASK_SHARE = 0.2;
/** Of that time, the age from which the store itself is read. */
const RELAYED_AGE_SHARE = 0.4;
/** Instances that come are of use soon; those that go show on connections. */
const INSTANCES_MILLISECONDS = 2000;
/** After a read that failed, the next one comes sooner, then less soon. */
const RETRY_MILLISECONDS = 150;
/** So often is tried in an outage; short against the time to be back in. */
const MAXIMUM_RETRY_MILLISECONDS = 600;

/**
 * Keeps an instance's beliefs up to date: from the platform's store, or through
 * the instance that reads it for the failure domain. A read that fails changes
 * nothing but the age of what is known.
 *
 * @returns how to stop
 * @example
 *     const stop = startStateSync(options);
 */
export function startStateSync(options: FollowOptions): () => void {
  const {source, state, beliefs, relay, settings, log, metrics} = options;
  const {getInstant, isUp, findSeed, onInstances} = options;
  const {name, failureDomain} = settings;
  let isStopped = false;
  const timers = new Set<NodeJS.Timeout>();
  const lost = new Set<string>();
  let readerName: string | null = null;

  function noteLoss(step: string, message: string): void {
    if (lost.has(step)) return;
    lost.add(step);
    log.infoAlways('store lost', {step, reason: message});
  }
  function noteGain(step: string): void {
    if (lost.delete(step)) log.infoAlways('store regained', {step});
  }

  /** Reads the store and notes whether it can be read. */
  async function readStore<Value, Failure extends {readonly message: string}>(
    step: string,
    read: () => Promise<Result<Value, Failure>>,
  ): Promise<Result<Value, Failure>> {
    const result = await read();
    result.match(
      () => noteGain(step),
      ({message}) => noteLoss(step, message),
    );
    return result;
  }

  const configuration: Belief = {
    getBound: () => settings.applyMilliseconds,
    getAge: () => state.configurationFreshness.getAge(getInstant()),
    async read() {
      const sentAt = getInstant();
      const read = await readStore('configuration', source.readConfiguration);
      const value = read.unwrapOr(null);
      if (value === null) return false;
      beliefs.applyConfiguration(value, sentAt);
      return true;
    },
  };
  const endpoints: Belief = {
    getBound: () => settings.drainMilliseconds,
    getAge: () => state.endpointFreshness.getAge(getInstant()),
    async read() {
      const sentAt = getInstant();
      const read = await readStore('endpoints', source.readEndpoints);
      if (read.isErr()) state.directory.recordOutage();
      else beliefs.applyEndpoints(read.value, sentAt);
      return read.isOk();
    },
  };

  function findReader(): string | null {
    const {instances} = state;
    const reader = chooseStoreReader({name, failureDomain, instances, isUp});
    if (reader !== readerName) {
      readerName = reader;
      log.infoAlways('reader chosen', {step: 'relay', peer: reader ?? name});
    }
    return reader;
  }

  /** Another instance that may still reach the store. */
  function findHelper(): string | undefined {
    const helper = state.instances.find(
      (other) =>
        other.name !== name && other.name !== readerName && isUp(other.name),
    );
    return helper?.name ?? findSeed();
  }

  async function isTold(peer: string, belief: Belief): Promise<boolean> {
    const isAnswered = await relay.fetchState(peer);
    const limit = belief.getBound() * RELAYED_AGE_SHARE;
    return isAnswered && belief.getAge() < limit;
  }

  async function refresh(belief: Belief): Promise<boolean> {
    const reader = findReader();
    if (reader !== null && (await isTold(reader, belief))) {
      metrics.count('storeReads', 'relayed');
      return true;
    }
    const startedAt = getInstant().monotonic;
    const isRead = await belief.read();
    metrics.count('storeReads', isRead ? 'read' : 'failed');
    if (isRead) metrics.time('storeRead', getInstant().monotonic - startedAt);
    if (isRead || isStopped) return isRead;
    const helper = findHelper();
    if (helper === undefined || !(await isTold(helper, belief))) return false;
    metrics.count('storeReads', 'relayed');
    return true;
  }

  function getPause(belief: Belief): number {
    if (readerName !== null) return belief.getBound() * ASK_SHARE;
    const share = relay.hasRecentRequests() ? SHARED_READ_SHARE : READ_SHARE;
    return belief.getBound() * share;
  }

  async function readInstances(): Promise<boolean> {
    await readStore('announce', source.announce);
    const read = await readStore('instances', source.readInstances);
    if (read.isErr()) return false;
    const others = read.value.filter((instance) => instance.name !== name);
    onInstances(others);
    const names = [...others.map((other) => other.name), name].sort();
    const known = state.instances.map((instance) => instance.name).sort();
    if (names.join() !== known.join()) {
      log.infoAlways('instances known', {step: 'instances', instances: names});
    }
    const {capacity} = settings;
    state.instances = [...others, {name, failureDomain, capacity}];
    return true;
  }

  function repeat(round: () => Promise<boolean>, getWait: () => number): void {
    let retry = RETRY_MILLISECONDS;
    const play = async (): Promise<void> => {
      const startedAt = getInstant().monotonic;
      const isDone = await round();
      if (isStopped) return;
      const took = getInstant().monotonic - startedAt;
      const wait = isDone ? Math.max(0, getWait() - took) : retry;
      retry = isDone
        ? RETRY_MILLISECONDS
        : Math.min(retry * 2, MAXIMUM_RETRY_MILLISECONDS);
      const timer = setTimeout(() => {
        timers.delete(timer);
        void play();
      }, wait);
      timers.add(timer);
    };
    void play();
  }

  for (const belief of [configuration, endpoints]) {
    repeat(
      () => refresh(belief),
      () => getPause(belief),
    );
  }
  repeat(readInstances, () => INSTANCES_MILLISECONDS);
  return () => {
    isStopped = true;
    for (const timer of timers) clearTimeout(timer);
  };
}
