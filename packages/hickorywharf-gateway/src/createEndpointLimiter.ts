import {createEndpointLimits} from 'hickorywharf-decisions/gateway/createEndpointLimits';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {ResponseHead} from 'hickorywharf-types/gateway/responseHead';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';

interface LimiterOptions {
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
}

interface EndpointLimiter {
  /** Records the rate limit in a response of the endpoint. */
  recordHead(endpoint: GatewayEndpoint, head: ResponseHead): void;
  /** Discards what is known of the endpoint. */
  remove(endpointId: string): void;
}

/**
 * Follows the rate limits that endpoints state in their responses, and logs
 * each change.
 *
 * @example
 *     const limiter = createEndpointLimiter({log, metrics});
 *     limiter.recordHead(endpoint, head);
 */
export function createEndpointLimiter(
  options: LimiterOptions,
): EndpointLimiter {
  const {log, metrics} = options;
  const limits = createEndpointLimits();
  return {
    recordHead(endpoint, {isMisdirected, rateLimit}) {
      if (isMisdirected) return;
      metrics.count('rateLimits', rateLimit.tag);
      const fields = {step: 'limit', peer: endpoint.id};
      if (rateLimit.tag === 'unreadable') {
        log.infoRateLimited('endpoint limit not readable', {
          ...fields,
          text: rateLimit.text,
        });
        return;
      }
      const change = limits.recordResponse(
        endpoint,
        rateLimit.tag === 'named' ? rateLimit.callsPerSecond : null,
      );
      if (change === null) return;
      log.infoAlways('endpoint limit changed', {
        ...fields,
        service: endpoint.service,
        callsPerSecond: change.callsPerSecond,
        before: change.before,
      });
    },
    remove: limits.remove,
  };
}
