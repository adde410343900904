import {randomUUID} from 'node:crypto';
import {createEndpointHealth} from 'hickorywharf-decisions/gateway/createEndpointHealth';
import {createRepeatBudget} from 'hickorywharf-decisions/gateway/createRepeatBudget';
import type {GatewaySettings} from 'hickorywharf-types/gateway/gatewaySettings';
import type {GatewaySource} from 'hickorywharf-types/gateway/gatewaySource';
import type {GatewayWire} from 'hickorywharf-types/gateway/gatewayWire';
import {createSystemClock} from 'hickorywharf-utils/createSystemClock';
import {sleep} from 'hickorywharf-utils/sleep';
import {createBeliefRelay} from './createBeliefRelay.ts';
import {createBeliefs} from './createBeliefs.ts';
import {createCallServer} from './createCallServer.ts';
import {createEndpointChannels} from './createEndpointChannels.ts';
import {createEndpointLoads} from './createEndpointLoads.ts';
import {createGatewayLog} from './createGatewayLog.ts';
import {createGatewayMetrics} from './createGatewayMetrics.ts';
import {createGatewayState} from './createGatewayState.ts';
import {createInstantClock} from './createInstantClock.ts';
import {createPeerLinks} from './createPeerLinks.ts';
import {createStageMaker} from './createStageMaker.ts';
import {createStageRouter} from './createStageRouter.ts';
import {createTextServer} from './createTextServer.ts';
import {followSource} from './followSource.ts';
import {isKeyConfirmed} from './isKeyConfirmed.ts';

interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly wire: GatewayWire;
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
  const channels = createEndpointChannels(wire);
  const health = createEndpointHealth();
  const budget = createRepeatBudget({
    ratio: settings.repeatRatio,
    windowMilliseconds: settings.repeatWindowMilliseconds,
    allowance: settings.repeatAllowance,
  });
  const maker = createStageMaker({
    state,
    wire,
    channels,
    health,
    budget,
    log,
    metrics,
    now,
  });
  const router = createStageRouter({
    name: settings.name,
    state,
    maker,
    log,
    now,
    getLinks: () => links,
  });
  const links = createPeerLinks({
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
    getNews: () => ({tag: 'stageWaits', services: router.listWaits()}),
    onRequest(connection, frame) {
      router.takeRequest(connection, frame);
      relay.takeRequest(connection, frame);
    },
    onRequesterDown: router.dropRequester,
    onReply(name, frame) {
      router.takeReply(name, frame);
      relay.takeReply(frame);
    },
    onDown: router.dropMaker,
  });
  const beliefs = createBeliefs({
    state,
    log,
    getInstant,
    onChange() {
      maker.refresh();
      server.refresh();
    },
    onLeft(endpointId) {
      health.forget(endpointId);
      maker.forget(endpointId);
    },
  });
  const relay = createBeliefRelay({
    state,
    beliefs,
    getInstant,
    send: links.send,
  });
  const server = createCallServer({
    settings,
    state,
    wire,
    channels,
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
        isKeyConfirmed(state, settings, getInstant()))
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
  const unfollow = followSource({
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
  log.note('started', {step: 'start', failureDomain: settings.failureDomain});

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
      log.note('settings reloaded', {step: 'reload', ...bounds});
    },
    async stop() {
      if (state.isStopping) return;
      const stoppedAt = now();
      state.isStopping = true;
      log.note('stopping', {step: 'stop', active: server.getActive()});
      const end = settings.graceMilliseconds - STOP_MARGIN_MILLISECONDS;
      links.leave();
      void source.withdraw();
      for (;;) {
        const elapsed = now() - stoppedAt;
        if (elapsed >= NOTICE_MILLISECONDS) {
          state.isClosed = true;
          server.closeIdle();
          if (server.getActive() === 0 || elapsed >= end) break;
        }
        await sleep(STOP_CHECK_MILLISECONDS);
      }
      unfollow();
      server.close();
      readiness.close();
      collector.close();
      await links.close();
      channels.close();
      log.note('stopped', {step: 'stop', milliseconds: now() - stoppedAt});
    },
  };
}
