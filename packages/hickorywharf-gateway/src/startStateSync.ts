import {chooseFallbackPeer} from 'hickorywharf-decisions/gateway/chooseFallbackPeer';
import {chooseStoreReader} from 'hickorywharf-decisions/gateway/chooseStoreReader';
import type {Instant} from 'hickorywharf-decisions/gateway/instant';
import type {GatewayInstance} from 'hickorywharf-types/gateway/gatewayInstance';
import type {GatewaySettings} from 'hickorywharf-types/gateway/gatewaySettings';
import type {GatewaySource} from 'hickorywharf-types/gateway/gatewaySource';
import {createSharedTask} from 'hickorywharf-utils/createSharedTask';
import type {Result} from 'neverthrow';
import type {createPeerStateSync} from './createPeerStateSync.ts';
import type {createStateUpdater} from './createStateUpdater.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import type {GatewayState} from './gatewayState.ts';

interface StateSyncOptions {
  readonly source: GatewaySource;
  readonly state: GatewayState;
  /** Applies what was fetched to the state of this instance. */
  readonly beliefs: ReturnType<typeof createStateUpdater>;
  /** Fetches the state of peers. */
  readonly relay: ReturnType<typeof createPeerStateSync>;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  readonly settings: GatewaySettings;
  getInstant(): Instant;
  /** Whether a peer is connected and not shutting down. */
  isConnected(name: string): boolean;
  /** A connected peer at one of the configured seed addresses. */
  findSeed(): string | undefined;
  /** Called with the other instances after each read of their list. */
  onInstances(others: readonly GatewayInstance[]): void;
}

interface StateSync {
  /**
   * Reads the endpoint list from the store and applies it. False if the read
   * failed, or if the store was just restored from a copy that may lack
   * endpoints. Calls share a read that starts after all of them.
   */
  confirmEndpoints(): Promise<boolean>;
  /** Withdraws the registration of this instance; polling goes on. */
  withdraw(): Promise<void>;
  /** Stops the polling. */
  stop(): void;
}

/** A part of the state that is kept fresh, from the store or from a peer. */
interface SyncedState {
  /** Time within which a change has to be applied, in milliseconds. */
  getLimit(): number;
  /** Time since the store last confirmed it, in milliseconds. */
  getAge(): number;
  /**
   * Reads the store; false if the read failed, or found nothing or what is
   * known to be old.
   */
  read(): Promise<boolean>;
  /** Fetches from a peer; false if it did not reply in time. */
  fetch(peer: string): Promise<boolean>;
  /** A connected peer that may still reach the store, other than the reader. */
  findFallback(): string | undefined;
}

/**
 * Interval between reads of the store, as a share of the time within which a
 * change has to be applied. It leaves time to retry one failed read.
 */
const READ_SHARE = 0.45;
/**
 * The same share for an instance that peers fetch from. It is smaller, as the
 * interval of their fetches adds to the age of their data.
 */
const SHARED_READ_SHARE = 0.3;
/** Interval between fetches from a peer, as a share of that time. */
const FETCH_SHARE = 0.2;
/**
 * Share of that time from which data of a peer is too old, so that the store
 * itself is read.
 */
const PEER_AGE_SHARE = 0.4;
/**
 * Interval between reads of the instance list. It may be long: a new instance
 * is still used soon, and the loss of one is noticed on its connection.
 */
const INSTANCES_INTERVAL_MILLISECONDS = 2000;
/**
 * After the store was restored from a copy, operators and endpoints write again
 * what it has lost. For this time what it has proves nothing about what is
 * missing.
 */
const RESTORED_MILLISECONDS = 2000;
/** Backoff after a first failed read, doubled with each further failure. */
const RETRY_MILLISECONDS = 150;
/**
 * Largest backoff during an outage of the store. It is short compared with the
 * time in which an instance has to recover afterwards.
 */
const MAXIMUM_RETRY_MILLISECONDS = 600;

/**
 * Keeps the state of an instance up to date, by polling the platform's store or
 * the peer that polls it for the failure domain. After a failed read all stays
 * as it is, and its age grows.
 *
 * An instance that stops does not renew its registration: peers rank the
 * registered instances, and one that comes and goes moves duties each time.
 *
 * @example
 *     const stateSync = startStateSync(options);
 *     stateSync.stop();
 */
export function startStateSync(options: StateSyncOptions): StateSync {
  const {
    source,
    state,
    beliefs: stateUpdater,
    relay: peerSync,
    settings,
    log,
    metrics,
  } = options;
  const {getInstant, isConnected, findSeed, onInstances} = options;
  const {name, failureDomain} = settings;
  let isStopped = false;
  const timers = new Set<NodeJS.Timeout>();
  const failedSteps = new Set<string>();
  /** The peer that reads the store for this instance; null for itself. */
  let readerName: string | null = null;
  /** Of the store's data; 0 before the first response. */
  let generation = 0;
  let restoredAt = -Infinity;
  let knownOthers: readonly GatewayInstance[] = [];
  /** The last registration or renewal; it may be under way. */
  let announcing = Promise.resolve();

  function logFailure(step: string, message: string): void {
    if (failedSteps.has(step)) return;
    failedSteps.add(step);
    log.infoAlways('store unavailable', {step, reason: message});
  }
  function logRecovery(step: string): void {
    if (failedSteps.delete(step)) log.infoAlways('store recovered', {step});
  }

  /** Whether the store was restored from a copy a moment ago. */
  function isJustRestored(): boolean {
    const elapsed = getInstant().monotonic - restoredAt;
    return elapsed < RESTORED_MILLISECONDS;
  }

  function checkGeneration(): void {
    const next = source.getGeneration();
    if (next === generation) return;
    // The first generation is not a restoration that this instance has seen.
    if (generation !== 0) {
      restoredAt = getInstant().monotonic;
      state.directory.recordRestored(getInstant());
      state.evacuations?.recordRestored(getInstant());
      log.infoAlways('store restored from a copy', {
        step: 'store',
        generation: next,
        before: generation,
        version: state.configuration?.version ?? null,
      });
      // The registration of this instance is among what was lost.
      void announce();
    }
    generation = next;
  }

  /** Reads the store and logs when it becomes unavailable or available. */
  async function readStore<Value, Failure extends {readonly message: string}>(
    step: string,
    read: () => Promise<Result<Value, Failure>>,
  ): Promise<Result<Value, Failure>> {
    const result = await read();
    checkGeneration();
    result.match(
      () => logRecovery(step),
      ({message}) => logFailure(step, message),
    );
    return result;
  }

  /** Registers this instance or renews its registration, unless it stops. */
  async function announce(): Promise<void> {
    announcing = announcing.then(async () => {
      if (!state.isStopping) await readStore('announce', source.announce);
    });
    await announcing;
  }

  const configuration: SyncedState = {
    getLimit: () => settings.applyMilliseconds,
    getAge: () => state.configurationFreshness.getAge(getInstant()),
    async read() {
      const sentAt = getInstant();
      const read = await readStore('configuration', () =>
        source.readConfiguration(stateUpdater.recordStoreVersion),
      );
      const value = read.unwrapOr(null);
      if (value === null) return false;
      // The copy may lack a newer version, which is written again.
      const isConfirmed =
        !isJustRestored() ||
        value.version > (state.configuration?.version ?? -1);
      if (!isConfirmed) return true;
      stateUpdater.applyConfiguration(value, sentAt);
      // A newer one that is known to exist may be had from a peer.
      return value.version >= state.newestVersion;
    },
    async fetch(peer) {
      const hasReply = await peerSync.fetchState(peer);
      if (hasReply) await peerSync.waitForConfiguration();
      return hasReply;
    },
    findFallback: findFallbackPeer,
  };
  const endpoints: SyncedState = {
    getLimit: () => settings.drainMilliseconds,
    getAge: () => state.endpointFreshness.getAge(getInstant()),
    async read() {
      const sentAt = getInstant();
      const read = await readStore('endpoints', source.readEndpoints);
      if (read.isOk()) stateUpdater.applyEndpoints(read.value, sentAt);
      // A store whose response is slow to arrive is up: registrations have not
      // expired by an outage.
      else if (read.error.tag !== 'interrupted') state.directory.recordOutage();
      return read.isOk();
    },
    fetch: peerSync.fetchState,
    findFallback: findFallbackPeer,
  };
  /** Counts the peers asked for orders, so that each is asked in turn. */
  let fallbacks = -1;

  const evacuations: SyncedState = {
    getLimit: () => settings.evacuateMilliseconds ?? Infinity,
    getAge: () => state.evacuationFreshness.getAge(getInstant()),
    async read() {
      const sentAt = getInstant();
      const read = await readStore('evacuations', source.readEvacuations);
      if (read.isOk()) stateUpdater.applyEvacuations(read.value, sentAt);
      return read.isOk();
    },
    fetch: peerSync.fetchState,
    findFallback() {
      fallbacks += 1;
      const {instances} = state;
      const failures = fallbacks;
      const options = {name, readerName, instances, failures, isConnected};
      return chooseFallbackPeer(options) ?? findFallbackPeer();
    },
  };
  const items = [configuration, endpoints];
  if (state.evacuations !== null) items.push(evacuations);

  const confirmEndpoints = createSharedTask(
    async () => !isStopped && (await endpoints.read()) && !isJustRestored(),
  );

  /** Updates `readerName` and returns it. */
  function findReader(): string | null {
    const {instances} = state;
    const reader = chooseStoreReader({
      name,
      failureDomain,
      instances,
      isConnected,
    });
    if (reader !== readerName) {
      readerName = reader;
      log.infoAlways('store reader selected', {
        step: 'relay',
        peer: reader ?? name,
      });
    }
    return reader;
  }

  /**
   * A connected peer other than the reader, or else at a seed address: it may
   * still reach the store. Undefined if there is none.
   */
  function findFallbackPeer(): string | undefined {
    const backup = state.instances.find(
      (other) =>
        other.name !== name &&
        other.name !== readerName &&
        isConnected(other.name),
    );
    return backup?.name ?? findSeed();
  }

  /** Fetches from a peer; false if the item is still too old afterwards. */
  async function fetchFrom(peer: string, item: SyncedState): Promise<boolean> {
    const hasReply = await item.fetch(peer);
    const limit = item.getLimit() * PEER_AGE_SHARE;
    return hasReply && item.getAge() < limit;
  }

  /**
   * Updates an item from the reader or from the store, and from another peer if
   * both fail; false if that fails too.
   */
  async function refresh(item: SyncedState): Promise<boolean> {
    const reader = findReader();
    // Replies that are fetched for the other items have the orders too.
    const isKnown =
      item === evacuations && item.getAge() < item.getLimit() * FETCH_SHARE;
    if (reader !== null && isKnown) return true;
    if (reader !== null && (await fetchFrom(reader, item))) {
      metrics.count('storeReads', 'relayed');
      return true;
    }
    const startedAt = getInstant().monotonic;
    const isRead = await item.read();
    metrics.count('storeReads', isRead ? 'read' : 'failed');
    if (isRead) metrics.time('storeRead', getInstant().monotonic - startedAt);
    if (isRead || isStopped) return isRead;
    const backup = item.findFallback();
    if (backup === undefined || !(await fetchFrom(backup, item))) return false;
    metrics.count('storeReads', 'relayed');
    return true;
  }

  function getInterval(item: SyncedState): number {
    if (readerName !== null) return item.getLimit() * FETCH_SHARE;
    const share = peerSync.hasRecentRequests() ? SHARED_READ_SHARE : READ_SHARE;
    return item.getLimit() * share;
  }

  async function readInstances(): Promise<boolean> {
    await announce();
    const read = await readStore('instances', source.readInstances);
    if (read.isErr()) return false;
    const listed = new Set(read.value.map((instance) => instance.name));
    // Right after a restoration, the others register again one by one.
    const missing = isJustRestored()
      ? knownOthers.filter((instance) => !listed.has(instance.name))
      : [];
    const others = [...read.value, ...missing].filter(
      (instance) => instance.name !== name,
    );
    knownOthers = others;
    onInstances(others);
    const names = [...others.map((other) => other.name), name].sort();
    const previous = state.instances.map((instance) => instance.name).sort();
    if (names.join() !== previous.join()) {
      log.infoAlways('instances changed', {
        step: 'instances',
        instances: names,
      });
    }
    const {capacity} = settings;
    state.instances = [...others, {name, failureDomain, capacity}];
    return true;
  }

  /**
   * Repeats a task. After a success, `getWait` is the time from the start of
   * the task to the next start; after a failure, the backoff counts from its
   * end.
   */
  function poll(task: () => Promise<boolean>, getWait: () => number): void {
    let backoff = RETRY_MILLISECONDS;
    const runTask = async (): Promise<void> => {
      const startedAt = getInstant().monotonic;
      const isDone = await task();
      if (isStopped) return;
      const elapsed = getInstant().monotonic - startedAt;
      const wait = isDone ? Math.max(0, getWait() - elapsed) : backoff;
      backoff = isDone
        ? RETRY_MILLISECONDS
        : Math.min(backoff * 2, MAXIMUM_RETRY_MILLISECONDS);
      const timer = setTimeout(() => {
        timers.delete(timer);
        void runTask();
      }, wait);
      timers.add(timer);
    };
    void runTask();
  }

  for (const item of items) {
    poll(
      () => refresh(item),
      () => getInterval(item),
    );
  }
  poll(readInstances, () => INSTANCES_INTERVAL_MILLISECONDS);
  return {
    confirmEndpoints,
    async withdraw() {
      await announcing;
      await source.withdraw();
    },
    stop() {
      isStopped = true;
      for (const timer of timers) clearTimeout(timer);
    },
  };
}
