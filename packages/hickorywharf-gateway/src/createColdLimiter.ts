import {createColdEndpoints} from 'hickorywharf-decisions/gateway/createColdEndpoints';
import type {Instant} from 'hickorywharf-decisions/gateway/instant';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewaySettings} from 'hickorywharf-types/gateway/gatewaySettings';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import type {GatewayState} from './gatewayState.ts';

interface ColdLimiterOptions {
  /** Read for each decision, as a reload changes them. */
  readonly settings: Pick<
    GatewaySettings,
    'name' | 'coldOverageRatio' | 'coldSlackCalls'
  >;
  readonly state: Pick<
    GatewayState,
    'configuration' | 'directory' | 'endpointFreshness'
  >;
  readonly log: Pick<GatewayLog, 'infoAlways'>;
  readonly metrics: Pick<GatewayMetrics, 'count'>;
  getInstant(): Instant;
}

interface ColdLimiter {
  /** Records a complete list of the instances, including this one. */
  recordInstances(
    instances: ReadonlyArray<{
      readonly name: string;
      readonly capacity: number;
    }>,
  ): void;
  /** Applies the services of the active configuration. */
  refresh(): void;
  /** Applies the list of endpoints after each confirmation, and logs changes. */
  recordList(): void;
  /** Calls per second of this instance; Infinity for a warm endpoint. */
  getRate(endpoint: GatewayEndpoint): number;
  /**
   * Milliseconds until this instance may send a call, at most until the
   * endpoint is warm.
   */
  getWait(endpoint: GatewayEndpoint): number;
  /** Counts a call that is sent after a wait; Infinity if it is not sent. */
  recordCall(endpoint: GatewayEndpoint, waitMilliseconds: number): void;
}

/**
 * Bounds the calls to cold endpoints where the service states what they can bear
 * and the settings have the margin, and logs which endpoints are cold.
 *
 * @example
 *     const cold = createColdLimiter({settings, state, log, metrics, getInstant});
 *     cold.recordList();
 *     cold.getWait(endpoint); // 0 if a call may be sent
 */
export function createColdLimiter(options: ColdLimiterOptions): ColdLimiter {
  const {settings, state, log, metrics, getInstant} = options;
  const endpoints = createColdEndpoints(settings.name, () => {
    const {coldOverageRatio, coldSlackCalls = 0} = settings;
    return coldOverageRatio === undefined
      ? null
      : {overageRatio: coldOverageRatio, slackCalls: coldSlackCalls};
  });
  const now = (): number => getInstant().monotonic;

  return {
    recordInstances: (instances) => endpoints.recordInstances(instances, now()),
    refresh() {
      const services = state.configuration?.services.values() ?? [];
      endpoints.setServices([...services]);
    },
    recordList() {
      const instant = getInstant();
      const changes = endpoints.recordEndpoints(
        state.directory.list(),
        instant,
      );
      for (const {tag, endpoint, milliseconds} of changes) {
        metrics.count('coldEndpoints', tag);
        const isWarm = tag === 'warm';
        log.infoAlways(isWarm ? 'endpoint is warm' : 'endpoint is cold', {
          step: 'cold',
          peer: endpoint.id,
          service: endpoint.service,
          startedAt: endpoint.startedAt,
          reason: tag,
          milliseconds: Math.round(milliseconds),
          listAge: Math.round(state.endpointFreshness.getAge(instant)),
        });
      }
    },
    // Asked for each candidate of each call: without cold endpoints, the clock is
    // not read.
    getRate: (endpoint) =>
      endpoints.hasCold() ? endpoints.getRate(endpoint, now()) : Infinity,
    getWait: (endpoint) =>
      endpoints.hasCold() ? endpoints.getWait(endpoint, now()) : 0,
    recordCall(endpoint, waitMilliseconds) {
      if (!Number.isFinite(waitMilliseconds)) return;
      const time = now();
      if (endpoints.getRemaining(endpoint, time) > 0) {
        const isDelayed = waitMilliseconds > 0;
        metrics.count('coldCalls', isDelayed ? 'delayed' : 'sent');
      }
      endpoints.recordCall(endpoint, time + waitMilliseconds, time);
    },
  };
}
