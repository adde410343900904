import {randomUUID} from 'node:crypto';
import {createEndpointHealth} from 'hickorywharf-decisions/gateway/createEndpointHealth';
import {createRetryBudget} from 'hickorywharf-decisions/gateway/createRetryBudget';
import type {GatewaySettings} from 'hickorywharf-types/gateway/gatewaySettings';
import type {GatewaySource} from 'hickorywharf-types/gateway/gatewaySource';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import {createSystemClock} from 'hickorywharf-utils/createSystemClock';
import {sleep} from 'hickorywharf-utils/sleep';
import {createPeerStateSync} from './createPeerStateSync.ts';
import {createStateUpdater} from './createStateUpdater.ts';
import {createCallServer} from './createCallServer.ts';
import {createEndpointClient} from './createEndpointClient.ts';
import {createEndpointLoads} from './createEndpointLoads.ts';
import {createGatewayLog} from './createGatewayLog.ts';
import {createGatewayMetrics} from './createGatewayMetrics.ts';
import {createGatewayState} from './createGatewayState.ts';
import {createInstantClock} from './createInstantClock.ts';
import {createPeerConnections} from './createPeerConnections.ts';
import {createStageDispatcher} from './createStageDispatcher.ts';
import {createStageRouter} from './createStageRouter.ts';
import {createTextServer} from './createTextServer.ts';
import {startStateSync} from './startStateSync.ts';
import {isKeySetFresh} from './isKeySetFresh.ts';

interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly wire: GatewayWireFormat;
  readonly source: GatewaySource;
  /** Where the log goes; standard output without it. */
  readonly output?: NodeJS.WritableStream;
}

interface Gateway {
  /** Takes over bounds that changed; the rest needs a new start. */
  reload(changed: GatewaySettings): void;
  /** Where callers are served. */
  readonly port: number;
  readonly readinessPort: number;
  /** Finishes what is under way, within the time of grace. */
  stop(): Promise<void>;
}

/** The balancer needs two questions, one a second, to notice a stop. */
const NOTICE_MILLISECONDS = 2600;
const STOP_CHECK_MILLISECONDS = 50;
/** Left of the grace when the process ends by itself. */
const STOP_MARGIN_MILLISECONDS = 250;

/**
 * Runs an entry that calls endpoints directly: it serves callers, and follows
 * the platform's store.
 *
 * @example
 *     const gateway = await runGateway({settings, wire, source});
 *     await gateway.stop();
 */
export async function runGateway(options: GatewayOptions): Promise<Gateway> {
  const {wire, source} = options;
  // Shared with all parts, so that bounds can change while it runs.
  const settings = {...options.settings};
  const clock = createSystemClock();
  const getInstant = createInstantClock(clock);
  const now = (): number => clock.monotonic();
  const metrics = createGatewayMetrics();
  const log = createGatewayLog(settings.name, now, options.output, () =>
    metrics.count('logLinesLeftOut', 'bound'),
  );
  const state = createGatewayState(settings);
  const channels = createEndpointClient(wire);
  const health = createEndpointHealth();
  const budget = createRetryBudget({
    ratio: settings.repeatRatio,
    windowMilliseconds: settings.repeatWindowMilliseconds,
    allowance: settings.repeatAllowance,
  });
  const maker = createStageDispatcher({
    state,
    wire,
    endpointClient: channels,
    health,
    budget,
    log,
    metrics,
    now,
  });
  const router = createStageRouter({
    name: settings.name,
    state,
    dispatcher: maker,
    log,
    now,
    getPeers: () => links,
  });
  const links = createPeerConnections({
    identity: {
      name: settings.name,
      incarnation: randomUUID(),
      failureDomain: settings.failureDomain,
      role: 'entry',
    },
    listen: settings.peers,
    seeds: settings.seeds,
    log,
    random: Math.random,
    getStatusFrame: () => ({
      tag: 'stageWaits',
      services: router.listWaitEstimates(),
    }),
    onRequest(connection, frame) {
      router.handleRequest(connection, frame);
      relay.handleRequest(connection, frame);
    },
    onRequesterDown: router.cancelRequests,
    onReply(name, frame) {
      router.handleReply(name, frame);
      relay.handleReply(frame);
    },
    onDown: router.reassignOrders,
  });
  const beliefs = createStateUpdater({
    state,
    log,
    getInstant,
    onChange() {
      maker.refresh();
      server.refresh();
    },
    onEndpointRemoved(endpointId) {
      health.forget(endpointId);
      maker.forget(endpointId);
    },
  });
  const relay = createPeerStateSync({
    state,
    beliefs,
    getInstant,
    send: links.send,
  });
  const server = createCallServer({
    settings,
    state,
    wire,
    endpointClient: channels,
    health,
    loads: createEndpointLoads(),
    budget,
    router,
    log,
    metrics,
    getInstant,
  });

  function isReady(): boolean {
    return (
      !state.isStopping &&
      state.configuration !== null &&
      state.endpointFreshness.getAge(getInstant()) < Infinity &&
      (state.configuration.accountsByKey === null ||
        isKeySetFresh(state, settings, getInstant()))
    );
  }

  const readiness = createTextServer({
    [wire.readinessPath]: () => ({status: isReady() ? 200 : 503, text: ''}),
  });
  const collector = createTextServer({
    '/metrics': () => ({status: 200, text: metrics.format()}),
  });
  const port = await server.listen(settings.listen.host, settings.listen.port);
  const readinessPort = await readiness.listen(
    settings.readiness.host,
    settings.readiness.port,
  );
  await collector.listen(settings.metrics.host, settings.metrics.port);
  await links.listen();
  const unfollow = startStateSync({
    source,
    state,
    beliefs,
    relay,
    log,
    metrics,
    settings,
    getInstant,
    isUp: links.isUp,
    findSeed: links.findSeed,
    onInstances: links.setInstances,
  });
  log.infoAlways('started', {
    step: 'start',
    failureDomain: settings.failureDomain,
  });

  return {
    port,
    readinessPort,
    reload(changed) {
      const {revokeMilliseconds, applyMilliseconds, drainMilliseconds} =
        changed;
      const {graceMilliseconds} = changed;
      const bounds = {
        graceMilliseconds,
        revokeMilliseconds,
        applyMilliseconds,
        drainMilliseconds,
      };
      Object.assign(settings, bounds);
      log.infoAlways('settings reloaded', {step: 'reload', ...bounds});
    },
    async stop() {
      if (state.isStopping) return;
      const stoppedAt = now();
      state.isStopping = true;
      log.infoAlways('stopping', {
        step: 'stop',
        active: server.getActiveCalls(),
      });
      const end = settings.graceMilliseconds - STOP_MARGIN_MILLISECONDS;
      links.announceLeaving();
      void source.withdraw();
      for (;;) {
        const elapsed = now() - stoppedAt;
        if (elapsed >= NOTICE_MILLISECONDS) {
          state.isClosed = true;
          server.closeIdle();
          if (server.getActiveCalls() === 0 || elapsed >= end) break;
        }
        await sleep(STOP_CHECK_MILLISECONDS);
      }
      unfollow();
      server.close();
      readiness.close();
      collector.close();
      await links.close();
      channels.close();
      log.infoAlways('stopped', {
        step: 'stop',
        milliseconds: now() - stoppedAt,
      });
    },
  };
}
