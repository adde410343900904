import type {createEndpointHealth} from 'hickorywharf-decisions/gateway/createEndpointHealth';
import {createHedgeShare} from 'hickorywharf-decisions/gateway/createHedgeShare';
import {createHedgeTimes} from 'hickorywharf-decisions/gateway/createHedgeTimes';
import type {createRetryBudget} from 'hickorywharf-decisions/gateway/createRetryBudget';
import {decideHedge} from 'hickorywharf-decisions/gateway/decideHedge';
import type {GatewaySettings} from 'hickorywharf-types/gateway/gatewaySettings';
import type {createEndpointLimiter} from './createEndpointLimiter.ts';
import type {createEndpointLoads} from './createEndpointLoads.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import type {GatewayState} from './gatewayState.ts';
import type {Hedger} from './hedger.ts';

interface HedgerOptions {
  readonly settings: GatewaySettings;
  readonly state: GatewayState;
  readonly health: ReturnType<typeof createEndpointHealth>;
  readonly limiter: ReturnType<typeof createEndpointLimiter>;
  readonly loads: ReturnType<typeof createEndpointLoads>;
  readonly budget: ReturnType<typeof createRetryBudget>;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  /** Monotonic milliseconds. */
  now(): number;
}

/** A call that is not hedged now may be a little later, this often. */
const CHECK_INTERVAL_MILLISECONDS = 25;
const NO_WATCH = {end: () => undefined};

/**
 * Decides on second attempts beside slow ones, for calls that may be repeated
 * and have no stages and no prompt: an engine would read the prompt again, and
 * stage pieces are hedged by their dispatcher. Off without the operators' share.
 *
 * @example
 *     const hedger = createHedger(options);
 *     const watch = hedger.watch({context, endpoint, ...handlers});
 *     watch.end();
 */
export function createHedger(options: HedgerOptions): Hedger {
  const {settings, state, health, limiter, loads, budget} = options;
  const {log, metrics, now} = options;
  const times = createHedgeTimes();
  const share = createHedgeShare({
    get callShare() {
      return settings.hedging?.callShare ?? 0;
    },
    get roomShare() {
      return settings.hedging?.roomShare ?? 0;
    },
    get windowMilliseconds() {
      return settings.repeatWindowMilliseconds;
    },
  });

  function recordTime(
    service: string,
    endpointId: string,
    milliseconds: number,
  ): void {
    if (settings.hedging) times.record(service, endpointId, milliseconds);
  }

  return {
    recordTime,
    recordSlow(service, {id}, milliseconds) {
      recordTime(service, id, milliseconds);
      health.recordSlow(id, milliseconds);
    },
    remove: times.remove,
    watch({context, endpoint, getFacts, findOther, isOpen, onHedge}) {
      const {service, route, call, isRetryable} = context;
      const isHedgeable =
        settings.hedging !== undefined &&
        isRetryable &&
        !route.isSticky &&
        route.stages.length === 0;
      if (!isHedgeable) return NO_WATCH;
      const startedAt = now();
      share.recordCall(service.name, startedAt);
      const delay = times.getDelay(service.name);
      if (delay === undefined) return NO_WATCH;
      let endHedge = (): void => undefined;
      let lastMissing = '';

      function check(): void {
        if (!isOpen() || context.isEnded) return;
        const time = now();
        const endpoints = state.directory.getUsable(service.name);
        const instances = state.instances.length;
        const slots = endpoints.reduce(
          (sum, each) => sum + Math.max(1, each.slots),
          0,
        );
        const usualMilliseconds = times.getUsual(service.name) ?? 0;
        const retries = budget.getUse(service.name, time, instances);
        const running = endpoints.reduce(
          (sum, {id}) => sum + loads.get(id).running,
          0,
        );
        const other = findOther();
        const decision = decideHedge({
          ...getFacts(),
          isSilent: health.isSilent(endpoint.id),
          hasEndpoint: other !== undefined,
          running,
          callsPerMillisecond:
            retries.requests / settings.repeatWindowMilliseconds,
          instances,
          slots,
          usualMilliseconds,
          isWithinShare: share.mayStart(service.name, {slots, instances}, time),
          retries,
        });
        if (decision.tag === 'wait' || other === undefined) {
          const missing = decision.tag === 'wait' ? decision.missing : '';
          if (missing !== lastMissing) metrics.count('hedges', missing);
          lastMissing = missing;
          timer = setTimeout(check, CHECK_INTERVAL_MILLISECONDS);
          return;
        }
        budget.tryRetry(service.name, time, instances);
        limiter.reserve(other);
        endHedge = share.start(service.name, time);
        metrics.count('hedges', 'started');
        log.infoRateLimited('call hedged', {
          requestId: call.id,
          step: 'call',
          peer: endpoint.id,
          other: other.id,
          delay: Math.round(delay!),
          milliseconds: Math.round(time - startedAt),
        });
        onHedge(other);
      }

      let timer = setTimeout(check, delay);
      return {
        end() {
          clearTimeout(timer);
          endHedge();
        },
      };
    },
  };
}
