import {randomUUID} from 'node:crypto';
import {createEndpointHealth} from 'hickorywharf-decisions/gateway/createEndpointHealth';
import {createRetryBudget} from 'hickorywharf-decisions/gateway/createRetryBudget';
import {rankStreamHomes} from 'hickorywharf-decisions/gateway/rankStreamHomes';
import type {GatewaySettings} from 'hickorywharf-types/gateway/gatewaySettings';
import type {GatewaySource} from 'hickorywharf-types/gateway/gatewaySource';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import {getResourceBounds} from 'hickorywharf-decisions/gateway/getResourceBounds';
import {createLatenessMonitor} from 'hickorywharf-utils/createLatenessMonitor';
import {createSystemClock} from 'hickorywharf-utils/createSystemClock';
import {createCallServer} from './createCallServer.ts';
import {createColdLimiter} from './createColdLimiter.ts';
import {createEndpointClient} from './createEndpointClient.ts';
import {createEndpointLimiter} from './createEndpointLimiter.ts';
import {createEndpointLoads} from './createEndpointLoads.ts';
import {createGatewayLog} from './createGatewayLog.ts';
import {createGatewayMetrics} from './createGatewayMetrics.ts';
import {createGatewayState} from './createGatewayState.ts';
import {createHedger} from './createHedger.ts';
import {createInstantClock} from './createInstantClock.ts';
import {createMemoryBudget} from './createMemoryBudget.ts';
import {createPeerConnections} from './createPeerConnections.ts';
import {createPeerStateSync} from './createPeerStateSync.ts';
import {createQuarantineSync} from './createQuarantineSync.ts';
import {createStageAdmission} from './createStageAdmission.ts';
import {createStageDispatcher} from './createStageDispatcher.ts';
import {createStageRouter} from './createStageRouter.ts';
import {createStopForecast} from './createStopForecast.ts';
import {createStreamJournal} from './createStreamJournal.ts';
import {createStateUpdater} from './createStateUpdater.ts';
import {createTextServer} from './createTextServer.ts';
import {isConfigurationCurrent} from './isConfigurationCurrent.ts';
import {isKeySetFresh} from './isKeySetFresh.ts';
import {createStreamVersions} from './createStreamVersions.ts';
import {createVersionLedger} from './createVersionLedger.ts';
import {startStateSync} from './startStateSync.ts';
import {stopGateway} from './stopGateway.ts';

interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly wire: GatewayWireFormat;
  readonly source: GatewaySource;
  /** Destination of the log; standard output by default. */
  readonly output?: NodeJS.WritableStream;
}

interface Gateway {
  /** Applies changed bounds; other settings need a restart. */
  reload(changed: GatewaySettings): void;
  /** Port on which callers are served. */
  readonly port: number;
  readonly readinessPort: number;
  /** Finishes requests in flight within the grace period, then shuts down. */
  stop(): Promise<void>;
}

/**
 * Runs a gateway, an entry that calls endpoints directly. It serves callers and
 * keeps its configuration and endpoints up to date from the platform's store.
 *
 * @returns once it listens; rejects if an address can't be bound
 * @example
 *     const gateway = await runGateway({settings, wire, source});
 *     await gateway.stop();
 */
export async function runGateway(options: GatewayOptions): Promise<Gateway> {
  const {wire, source} = options;
  // Shared with all components, so that a reload changes their time limits.
  const settings = {...options.settings};
  const clock = createSystemClock();
  const getInstant = createInstantClock(clock);
  const now = (): number => clock.monotonic();
  const metrics = createGatewayMetrics();
  const log = createGatewayLog(settings.name, now, options.output, () =>
    metrics.count('logLinesLeftOut', 'bound'),
  );
  const bounds = getResourceBounds(settings);
  const memory = createMemoryBudget({
    maximumBytes: bounds.heldBytes,
    now,
    onDrop(kind, bytes) {
      metrics.count('droppedHoldings', kind);
      log.infoRateLimited('dropped for memory', {step: 'hold', kind, bytes});
    },
  });
  const state = createGatewayState(settings);
  const lateness = createLatenessMonitor();
  const endpointClient = createEndpointClient(wire, log);
  const health = createEndpointHealth();
  const budget = createRetryBudget({
    get ratio() {
      return settings.repeatRatio;
    },
    get windowMilliseconds() {
      return settings.repeatWindowMilliseconds;
    },
    get allowance() {
      return settings.repeatAllowance;
    },
  });
  const incarnation = randomUUID();
  const cold = createColdLimiter({settings, state, log, metrics, getInstant});
  const limiter = createEndpointLimiter({
    name: settings.name,
    incarnation,
    state,
    cold,
    log,
    metrics,
    onLeaving: (endpoint) => stateUpdater.recordLeaving(endpoint),
    now,
  });
  const journal = createStreamJournal({
    source,
    log,
    metrics,
    getInstanceCount: () => state.instances.length,
    getLifetime: () => streams.getLifetime(),
    now,
  });
  const ledger = createVersionLedger({
    source,
    log,
    metrics,
    getLifetime: () => streams.getLifetime(),
    getInstant,
  });
  const streams = createStreamVersions({
    name: settings.name,
    state,
    metrics,
    journal,
    ledger,
    getInstant,
    confirmEndpoints: () => polling.confirmEndpoints(),
    send: (peer, exchange) => peers.sendHeartbeat(peer, {streams: exchange}),
  });
  const quarantine = createQuarantineSync({
    name: settings.name,
    state,
    log,
    metrics,
    now,
    broadcast: (quarantineRecords) =>
      peers.broadcastHeartbeat({quarantineRecords}),
  });
  /** Left out without reports, as most heartbeats have none. */
  const getHeartbeatFields = () => {
    streams.flush();
    quarantine.flush();
    const endpointLimits = limiter.listReports();
    return endpointLimits.length > 0 ? {endpointLimits} : {};
  };
  const dispatcher = createStageDispatcher({
    state,
    wire,
    endpointClient,
    health,
    limiter,
    budget,
    log,
    metrics,
    now,
  });
  const router = createStageRouter({
    name: settings.name,
    state,
    dispatcher,
    log,
    now,
    getPeers: () => peers,
  });
  const peers = createPeerConnections({
    identity: {
      name: settings.name,
      incarnation,
      failureDomain: settings.failureDomain,
      role: 'entry',
    },
    memory,
    maximumConnections: bounds.peerConnections,
    listen: settings.peers,
    seeds: settings.seeds,
    log,
    random: Math.random,
    getStatusFrame: () => ({
      tag: 'stageWaits',
      services: router.listWaitEstimates(),
      ...getHeartbeatFields(),
    }),
    getHeartbeatFields,
    getFirstFields() {
      const quarantineRecords = quarantine.listRecords();
      return quarantineRecords.length > 0 ? {quarantineRecords} : {};
    },
    onRequest(connection, frame) {
      if (frame.tag === 'heartbeat') {
        quarantine.handle(connection.peer.name, frame.quarantineRecords ?? []);
        limiter.recordReports(frame.endpointLimits ?? []);
        if (frame.streams !== undefined) {
          void streams.handle(frame.streams).then((reply) => {
            if (reply === null) return;
            peers.replyHeartbeat(connection, {streams: reply});
          });
        }
      }
      router.handleRequest(connection, frame);
      stateSync.handleRequest(connection, frame);
    },
    onRequesterDisconnected: router.cancelRequests,
    onReply(name, frame) {
      if (frame.tag === 'heartbeat') {
        quarantine.handle(name, frame.quarantineRecords ?? []);
        if (frame.streams !== undefined) void streams.handle(frame.streams);
      }
      if (frame.tag === 'stageWaits') {
        limiter.recordReports(frame.endpointLimits ?? []);
      }
      router.handleReply(name, frame);
      stateSync.handleReply(frame);
    },
    onDisconnected(name) {
      router.reassignOrders(name);
      stateSync.handleDisconnected(name);
    },
  });
  const stateUpdater = createStateUpdater({
    state,
    log,
    getInstant,
    onChange() {
      limiter.refresh();
      dispatcher.refresh();
      server.refresh();
    },
    onEndpointRestarted(endpointId) {
      health.remove(endpointId);
      hedger.remove(endpointId);
    },
    onEndpointsConfirmed(readAt) {
      streams.recordList(readAt);
      cold.recordList();
    },
    onEndpointRemoved(endpointId) {
      health.remove(endpointId);
      hedger.remove(endpointId);
      dispatcher.removeEndpoint(endpointId);
    },
  });
  const stateSync = createPeerStateSync({
    state,
    beliefs: stateUpdater,
    log,
    metrics,
    getInstant,
    send: peers.send,
  });
  const loads = createEndpointLoads();
  const hedger = createHedger({
    settings,
    state,
    health,
    limiter,
    loads,
    budget,
    log,
    metrics,
    now,
  });
  const server = createCallServer({
    settings,
    state,
    wire,
    endpointClient,
    health,
    limiter,
    streams,
    quarantine,
    loads,
    hedger,
    memory,
    maximumConnections: bounds.callerConnections,
    budget,
    router,
    admitToStages: createStageAdmission({state, limiter, router, now}),
    stopForecast: createStopForecast({state, now}),
    log,
    metrics,
    getInstant,
  });

  /**
   * Whether the load balancer may send requests: configuration and endpoints
   * were read, the configuration is current, the keys are fresh if calls need
   * any, and no stop has started.
   */
  function isReady(): boolean {
    return (
      !state.isStopping &&
      state.configuration !== null &&
      isConfigurationCurrent(state, settings, getInstant()) &&
      state.endpointFreshness.getAge(getInstant()) < Infinity &&
      (state.configuration.accountsByKey === null ||
        isKeySetFresh(state, settings, getInstant()))
    );
  }

  const readinessServer = createTextServer({
    [wire.readinessPath]: () => ({status: isReady() ? 200 : 503, text: ''}),
  });
  const metricsServer = createTextServer({
    '/metrics': () => ({status: 200, text: metrics.format()}),
  });
  const port = await server.listen(settings.listen.host, settings.listen.port);
  const readinessPort = await readinessServer.listen(
    settings.readiness.host,
    settings.readiness.port,
  );
  await metricsServer.listen(settings.metrics.host, settings.metrics.port);
  await peers.listen();
  const polling = startStateSync({
    source,
    state,
    beliefs: stateUpdater,
    relay: stateSync,
    log,
    metrics,
    settings,
    getInstant,
    isConnected: peers.isConnected,
    findSeed: peers.findSeed,
    onInstances(others) {
      const {name, capacity} = settings;
      limiter.recordInstances([...others, {name, capacity}]);
      peers.setInstances(others);
      quarantine.setInstances([...others.map((other) => other.name), name]);
      // Connects to those that keep records of streams before one is asked, and
      // through which all instances are told of prompts.
      for (const keeper of rankStreamHomes([...others, {name, capacity}])) {
        if (keeper !== name) peers.isConnected(keeper);
      }
    },
  });
  log.infoAlways('started', {
    step: 'start',
    failureDomain: settings.failureDomain,
    ...bounds,
  });

  return {
    port,
    readinessPort,
    reload(changed) {
      const limits = {
        graceMilliseconds: changed.graceMilliseconds,
        revokeMilliseconds: changed.revokeMilliseconds,
        applyMilliseconds: changed.applyMilliseconds,
        drainMilliseconds: changed.drainMilliseconds,
        repeatRatio: changed.repeatRatio,
        repeatWindowMilliseconds: changed.repeatWindowMilliseconds,
        repeatAllowance: changed.repeatAllowance,
        hedging: changed.hedging,
      };
      Object.assign(settings, limits);
      log.infoAlways('settings reloaded', {step: 'reload', ...limits});
    },
    async stop() {
      if (state.isStopping) return;
      const stoppedAt = now();
      await stopGateway({
        settings,
        state,
        server,
        lateness,
        log,
        now,
        hasPeerOrders: router.hasPeerOrders,
        announce() {
          peers.announceLeaving();
          void polling.withdraw();
        },
      });
      polling.stop();
      journal.close();
      ledger.close();
      server.close();
      readinessServer.close();
      metricsServer.close();
      await peers.close();
      endpointClient.close();
      log.infoAlways('stopped', {
        step: 'stop',
        milliseconds: now() - stoppedAt,
        lateness: Math.round(lateness.get()),
      });
      lateness.stop();
    },
  };
}
