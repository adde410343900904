import {chooseEngine} from 'hickorywharf-decisions/gateway/chooseEngine';
import {countUncachedTokens} from 'hickorywharf-decisions/gateway/countUncachedTokens';
import {createEngineForecast} from 'hickorywharf-decisions/gateway/createEngineForecast';
import {estimateEngineTime} from 'hickorywharf-decisions/gateway/estimateEngineTime';
import {forecastEngine} from 'hickorywharf-decisions/gateway/forecastEngine';
import {orderSession} from 'hickorywharf-decisions/gateway/orderSession';
import type {EngineReport} from 'hickorywharf-types/gateway/engineReport';
import type {EngineTotals} from 'hickorywharf-types/gateway/engineTotals';
import type {GatewayCall} from 'hickorywharf-types/gateway/gatewayCall';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {CallContext} from './callContext.ts';
import type {createEndpointLoads} from './createEndpointLoads.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import type {GatewayState} from './gatewayState.ts';

type Loads = ReturnType<typeof createEndpointLoads>;

interface EngineWorkOptions {
  readonly state: GatewayState;
  readonly loads: Loads;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  /** Monotonic milliseconds. */
  now(): number;
}

interface Candidate {
  readonly endpoint: GatewayEndpoint;
  readonly penaltyMilliseconds: number;
}

interface Placement extends Pick<
  Parameters<typeof chooseEngine>[1],
  'failureDomain' | 'results' | 'resultBytes'
> {
  readonly call: GatewayCall;
}

interface EngineWork {
  /** Calls of this instance at an endpoint of any service. */
  get: Loads['get'];
  /**
   * Counts a call that is sent to an endpoint; the functions returned record
   * its first event and its end.
   */
  startCall(
    endpoint: GatewayEndpoint,
    call: GatewayCall,
  ): ReturnType<Loads['startCall']>;
  /** Chooses the engine of a call; undefined without candidates. */
  choose(
    candidates: readonly Candidate[],
    placement: Placement,
  ): GatewayEndpoint | undefined;
  /**
   * Milliseconds until the first event of a call that is sent now to the best
   * of the endpoints, but no less than is usual.
   */
  estimateFirstEvent(
    call: GatewayCall,
    endpoints: readonly GatewayEndpoint[],
  ): number;
  /**
   * Whether the first event of a call that is sent now can come while its caller
   * waits; true for endpoints without an engine.
   */
  canBegin(
    call: GatewayCall,
    endpoint: GatewayEndpoint,
    context: Pick<CallContext, 'firstEventDeadlineAt'>,
  ): boolean;
  /** Records the work at engines that another instance reports. */
  recordReport(peer: string, engines: readonly EngineReport[]): void;
  /** Records the sums of a peer over the instances that report to it. */
  recordTotals(peer: string, totals: EngineTotals): void;
  /** What this instance reports to its peers from now on. */
  listReports(): EngineReport[];
  /**
   * Sums over this instance, with its reports, and those that report to it;
   * null if none does.
   */
  addTotals(reports: readonly EngineReport[]): EngineTotals | null;
  removePeer(peer: string): void;
}

/** Decisions are logged at most this often, with what they went by. */
const LOG_INTERVAL_MILLISECONDS = 500;

/**
 * Keeps what this instance and others have in progress at model engines, and
 * places calls by the forecast from it.
 *
 * @example
 *     const engines = createEngineWork({state, loads, log, metrics, now});
 *     engines.choose(candidates, placement)?.id; // 'engine-3'
 */
export function createEngineWork(options: EngineWorkOptions): EngineWork {
  const {state, loads, log, metrics, now} = options;
  const forecasts = createEngineForecast();
  let loggedAt = -Infinity;

  const getLimits = (service: string) =>
    state.configuration?.services.get(service)?.engine ?? null;
  const getState = (endpoint: GatewayEndpoint, time: number) =>
    forecasts.getState(
      endpoint,
      loads.get(endpoint.id),
      getLimits(endpoint.service),
      time,
    );

  /** Milliseconds until the first event at each endpoint. */
  function forecastFirstEvents(
    call: GatewayCall,
    endpoints: readonly GatewayEndpoint[],
  ): number[] {
    const {promptParts, promptTokens, outputTokens} = call;
    const time = now();
    const states = endpoints.map((endpoint) => ({
      ...getState(endpoint, time),
      id: endpoint.id,
    }));
    const order = orderSession(promptParts, states);
    return states.map((engine) => {
      const rank = order.indexOf(engine.id);
      const uncachedTokens = countUncachedTokens(promptParts, rank);
      const request = {promptTokens, uncachedTokens, outputTokens};
      return forecastEngine(engine, request).firstEventMilliseconds;
    });
  }

  function logPlacement(
    endpoint: GatewayEndpoint,
    requestId: string,
    rank: number,
    before: ReturnType<typeof getState>,
  ): void {
    metrics.count('enginePlacements', rank === 0 ? 'session' : 'elsewhere');
    const time = now();
    if (time - loggedAt < LOG_INTERVAL_MILLISECONDS) return;
    loggedAt = time;
    const age = forecasts.getAge(endpoint, time);
    log.infoRateLimited('engine chosen', {
      requestId,
      step: 'call',
      peer: endpoint.id,
      rank,
      running: before.running,
      pendingTokens: Math.round(before.pendingTokens),
      slowness: Math.round(before.slowness * 100) / 100,
      othersAge: age === null ? null : Math.round(age),
    });
  }

  return {
    get: loads.get,
    startCall(endpoint, call) {
      if (getLimits(endpoint.service) === null) {
        return loads.startCall(endpoint.id, call.promptTokens);
      }
      const {promptParts, promptTokens, outputTokens} = call;
      const startedAt = now();
      const order = orderSession(
        promptParts,
        state.directory.getUsable(endpoint.service).map((engine) => ({
          id: engine.id,
          slowness: getState(engine, startedAt).slowness,
        })),
      );
      const rank = order.indexOf(endpoint.id);
      const uncachedTokens = countUncachedTokens(promptParts, rank);
      const before = getState(endpoint, startedAt);
      logPlacement(endpoint, call.id, rank, before);
      const counted = loads.startCall(
        endpoint.id,
        promptTokens,
        uncachedTokens,
      );
      let isPending = true;
      return {
        recordPrefillDone() {
          counted.recordPrefillDone();
          if (!isPending) return;
          isPending = false;
          forecasts.recordFirstEvent(
            endpoint,
            before,
            {promptTokens, uncachedTokens, outputTokens},
            now() - startedAt,
            now(),
          );
        },
        end: counted.end,
      };
    },
    choose(candidates, {call, ...placement}) {
      const time = now();
      const chosen = chooseEngine(
        candidates.map(({endpoint, penaltyMilliseconds}) => ({
          ...getState(endpoint, time),
          id: endpoint.id,
          failureDomain: endpoint.failureDomain,
          penaltyMilliseconds,
          endpoint,
        })),
        {
          ...placement,
          parts: call.promptParts,
          promptTokens: call.promptTokens,
          outputTokens: call.outputTokens,
        },
      );
      return chosen?.endpoint;
    },
    estimateFirstEvent(call, endpoints) {
      const usual = estimateEngineTime(call.promptTokens);
      const times = forecastFirstEvents(call, endpoints);
      // Without endpoints, others decide what becomes of the call.
      return times.length === 0 ? usual : Math.max(usual, Math.min(...times));
    },
    canBegin(call, endpoint, {firstEventDeadlineAt}) {
      if (getLimits(endpoint.service) === null) return true;
      const [milliseconds] = forecastFirstEvents(call, [endpoint]);
      return now() + milliseconds! <= firstEventDeadlineAt;
    },
    recordReport: (peer, engines) =>
      forecasts.recordReport(peer, engines, now()),
    recordTotals: (peer, totals) => forecasts.recordTotals(peer, totals, now()),
    listReports() {
      const reports = state.directory.list().flatMap((endpoint) => {
        if (getLimits(endpoint.service) === null) return [];
        const own = loads.get(endpoint.id);
        return forecasts.getReport(endpoint, own, now()) ?? [];
      });
      forecasts.recordOwn(reports, now());
      return reports;
    },
    addTotals: (reports) => forecasts.addTotals(reports, now()),
    removePeer: forecasts.removePeer,
  };
}
