import {createRouteTable} from 'hickorywharf-decisions/gateway/createRouteTable';
import type {GatewayInstance} from 'hickorywharf-types/gateway/gatewayInstance';
import type {GatewaySettings} from 'hickorywharf-types/gateway/gatewaySettings';
import type {GatewaySource} from 'hickorywharf-types/gateway/gatewaySource';
import type {createInstantClock} from './createInstantClock.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import type {GatewayState} from './gatewayState.ts';

interface FollowOptions {
  readonly source: GatewaySource;
  readonly state: GatewayState;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  readonly settings: GatewaySettings;
  readonly getInstant: ReturnType<typeof createInstantClock>;
  /** Called after the configuration or the endpoints changed. */
  onChange(): void;
  /** Called with the other instances after each reading. */
  onInstances(others: readonly GatewayInstance[]): void;
}

/** Of the time in which a change binds; one read may fail and come again. */
const INTERVAL_SHARE = 0.45;
/** Instances that come are of use soon; those that go show on connections. */
const INSTANCES_MILLISECONDS = 2000;
/** After a read that failed, the next one comes sooner. */
const RETRY_MILLISECONDS = 150;

/**
 * Keeps an instance's beliefs up to date from the platform's store. A read that
 * fails changes nothing but the age of what is known.
 *
 * @returns how to stop
 * @example
 *     const stop = followSource(options);
 */
export function followSource(options: FollowOptions): () => void {
  const {source, state, settings, log, metrics, getInstant} = options;
  const {onChange, onInstances} = options;
  const {name} = settings;
  let isStopped = false;
  const timers = new Set<NodeJS.Timeout>();
  const lost = new Set<string>();

  function noteLoss(step: string, message: string): void {
    if (lost.has(step)) return;
    lost.add(step);
    log.note('store lost', {step, reason: message});
  }
  function noteGain(step: string): void {
    if (lost.delete(step)) log.note('store regained', {step});
  }

  async function readConfiguration(): Promise<boolean> {
    const sentAt = getInstant();
    const read = await source.readConfiguration();
    if (read.isErr()) {
      noteLoss('configuration', read.error.message);
      return false;
    }
    noteGain('configuration');
    const next = read.value;
    if (next === null) return false;
    const known = state.configuration?.version ?? -1;
    // A read that crossed a newer one proves nothing about the newer one.
    if (next.version < known) return true;
    if (next.version > known) {
      state.routes = createRouteTable(next.routes);
      state.configuration = next;
      log.note('configuration in force', {
        step: 'configuration',
        version: next.version,
        before: known,
        routes: next.routes.length,
      });
      onChange();
    }
    state.configurationFreshness.confirm(sentAt);
    return true;
  }

  async function readEndpoints(): Promise<boolean> {
    const sentAt = getInstant();
    const read = await source.readEndpoints();
    if (read.isErr()) {
      state.directory.noteOutage();
      noteLoss('endpoints', read.error.message);
      return false;
    }
    noteGain('endpoints');
    const changes = state.directory.update(read.value, getInstant());
    state.endpointFreshness.confirm(sentAt);
    for (const {tag, endpoint} of changes) {
      log.note(`endpoint ${tag}`, {
        step: 'endpoints',
        peer: endpoint.id,
        service: endpoint.service,
      });
    }
    if (changes.length > 0) onChange();
    return true;
  }

  async function readInstances(): Promise<boolean> {
    const announced = await source.announce();
    if (announced.isErr()) noteLoss('announce', announced.error.message);
    else noteGain('announce');
    const read = await source.readInstances();
    if (read.isErr()) {
      noteLoss('instances', read.error.message);
      return false;
    }
    noteGain('instances');
    const others = read.value.filter((instance) => instance.name !== name);
    onInstances(others);
    const names = [...others.map((other) => other.name), name].sort();
    const known = state.instances.map((instance) => instance.name).sort();
    if (names.join() !== known.join()) {
      log.note('instances known', {step: 'instances', instances: names});
    }
    state.instances = [...others, {name, capacity: settings.capacity}];
    return true;
  }

  function repeat(read: () => Promise<boolean>, every: number): void {
    const round = async (): Promise<void> => {
      const startedAt = getInstant().monotonic;
      const isRead = await read();
      metrics.count('storeReads', isRead ? 'read' : 'failed');
      if (isStopped) return;
      const took = getInstant().monotonic - startedAt;
      if (isRead) metrics.time('storeRead', took);
      const wait = isRead ? Math.max(0, every - took) : RETRY_MILLISECONDS;
      const timer = setTimeout(() => {
        timers.delete(timer);
        void round();
      }, wait);
      timers.add(timer);
    };
    void round();
  }

  repeat(readConfiguration, settings.applyMilliseconds * INTERVAL_SHARE);
  repeat(readEndpoints, settings.drainMilliseconds * INTERVAL_SHARE);
  repeat(readInstances, INSTANCES_MILLISECONDS);
  return () => {
    isStopped = true;
    for (const timer of timers) clearTimeout(timer);
  };
}
