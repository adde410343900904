import {createEndpointLimits} from 'hickorywharf-decisions/gateway/createEndpointLimits';
import {createEndpointPauses} from 'hickorywharf-decisions/gateway/createEndpointPauses';
import {estimateLimitWait} from 'hickorywharf-decisions/gateway/estimateLimitWait';
import type {EndpointLimitReport} from 'hickorywharf-types/gateway/endpointLimitReport';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {ResponseHead} from 'hickorywharf-types/gateway/responseHead';
import type {createColdLimiter} from './createColdLimiter.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import type {GatewayState} from './gatewayState.ts';
import {listStageServices} from './listStageServices.ts';

type Limits = ReturnType<typeof createEndpointLimits>;

/** The endpoint turned the call away. */
const UNAVAILABLE = 503;
/** Extensions of a pause by less than this are not logged. */
const LOGGED_EXTENSION_MILLISECONDS = 500;
/** A call asks later than the next more urgent one by longer than a timer errs. */
const PRIORITY_STEP_MILLISECONDS = 10;
const MAXIMUM_PRIORITY = 9;

interface LimiterOptions {
  /** Name of this instance. */
  readonly name: string;
  /** Distinguishes the starts of this instance. */
  readonly incarnation: string;
  readonly state: GatewayState;
  /** The bound on calls to cold endpoints; left out if there is none. */
  readonly cold?: ReturnType<typeof createColdLimiter>;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  /** Called for each response by which an endpoint says that it leaves. */
  onLeaving(endpoint: GatewayEndpoint): void;
  /** Monotonic milliseconds. */
  now(): number;
}

interface EndpointLimiter {
  /** Records all that a response states about the calls the endpoint takes. */
  recordHead(endpoint: GatewayEndpoint, head: ResponseHead): void;
  /**
   * Records whether a response states that the endpoint takes no calls, but not
   * its rate limit, which only responses to calls state.
   */
  recordAvailability(endpoint: GatewayEndpoint, head: ResponseHead): void;
  /** Records what a peer reports. */
  recordReports(reports: readonly EndpointLimitReport[]): void;
  /** What this instance reports to its peers. */
  listReports(): EndpointLimitReport[];
  /** Records a complete list of the instances, including this one. */
  recordInstances(
    instances: ReadonlyArray<{
      readonly name: string;
      readonly capacity: number;
    }>,
  ): void;
  /** Applies the services of the active configuration. */
  refresh(): void;
  /** Calls per second that this instance may send; Infinity without a limit. */
  getRate(endpoint: GatewayEndpoint): number;
  /**
   * Milliseconds until this instance may send a call, by the rate limit and the
   * pause of the endpoint; Infinity for never.
   */
  getWait(endpoint: GatewayEndpoint): number;
  /**
   * The endpoints without those that are cold and have no room now; all of them
   * if none has room. Instances that leave out the same ones agree on the next
   * engine of a session.
   */
  leaveOutFull(
    endpoints: readonly GatewayEndpoint[],
  ): readonly GatewayEndpoint[];
  /** Milliseconds until the endpoint takes calls of this instance again. */
  getPause(endpoint: GatewayEndpoint): number;
  /**
   * Whether the endpoint said that it wants no calls now, or none any more, or
   * its failure domain is evacuated.
   */
  isWithdrawn(endpoint: GatewayEndpoint): boolean;
  /**
   * Milliseconds by which the limits and pauses of these endpoints of a service
   * delay a call that arrives now; Infinity if this instance may use none of
   * them.
   */
  estimateWait(service: string, endpoints: readonly GatewayEndpoint[]): number;
  /**
   * Counts a call that is prepared, and sent to the service afterwards, until
   * the function returned is called.
   */
  startPreparation(service: string): () => void;
  /**
   * Milliseconds for which the endpoint is sent nothing that can wait, by its
   * pause or as it is cold and this instance has no room.
   */
  getHold(endpoint: GatewayEndpoint): number;
  /** Counts a call to be sent after the wait that is returned. */
  reserve(endpoint: GatewayEndpoint): number;
  /**
   * Like `reserve`, but takes no room ahead at a cold endpoint, so that the most
   * urgent of the calls that wait gets the next: the call asks again after the
   * wait.
   *
   * @param priority 0 for the most urgent
   * @param isBound whether the call may go to no other endpoint, and takes room
   *     ahead there
   */
  ask(endpoint: GatewayEndpoint, priority: number, isBound: boolean): number;
  /** Whether room is taken ahead at the endpoint, for calls that wait. */
  takesAhead(endpoint: GatewayEndpoint): boolean;
}

/**
 * Keeps what endpoints state in their responses about the calls that they take,
 * and logs each change.
 *
 * @example
 *     const limiter = createEndpointLimiter(options);
 *     limiter.recordHead(endpoint, head);
 *     limiter.getWait(endpoint); // 0 if a call may be sent
 */
export function createEndpointLimiter(
  options: LimiterOptions,
): EndpointLimiter {
  const {name, incarnation, state, cold, log, metrics, now} = options;
  const limits = createEndpointLimits(name, incarnation);
  const pauses = createEndpointPauses();
  /** Number of calls that are prepared, by service. */
  const preparations = new Map<string, number>();

  function logChange(
    change: NonNullable<ReturnType<Limits['recordResponse']>>,
  ): void {
    const {endpointId, ...fields} = change;
    log.infoAlways('endpoint limit changed', {
      step: 'limit',
      peer: endpointId,
      ...fields,
    });
  }

  function recordPause(
    endpoint: GatewayEndpoint,
    {retryAfter}: ResponseHead,
  ): void {
    if (retryAfter.tag === 'none') return;
    const fields = {step: 'limit', peer: endpoint.id};
    if (retryAfter.tag === 'unreadable') {
      metrics.count('withdrawals', 'unreadable');
      const {text} = retryAfter;
      log.infoRateLimited('endpoint pause not readable', {...fields, text});
      return;
    }
    const stated = retryAfter.milliseconds;
    const change = pauses.record(endpoint, stated, now());
    metrics.count('withdrawals', change?.isBounded ? 'bounded' : 'paused');
    if (change === null) return;
    const {beforeMilliseconds, milliseconds} = change;
    const extension = milliseconds - beforeMilliseconds;
    const isExtended = beforeMilliseconds > 0;
    if (isExtended && extension < LOGGED_EXTENSION_MILLISECONDS) return;
    log.infoRateLimited('endpoint paused', {
      ...fields,
      startedAt: endpoint.startedAt,
      stated,
      milliseconds,
      before: Math.round(beforeMilliseconds),
    });
  }

  /** A misdirected response states nothing about the endpoint. */
  function recordAvailability(
    endpoint: GatewayEndpoint,
    head: ResponseHead,
  ): void {
    if (head.isMisdirected) return;
    if (head.status === UNAVAILABLE) recordPause(endpoint, head);
    if (!head.isLeaving) return;
    metrics.count('withdrawals', 'leaving');
    options.onLeaving(endpoint);
  }

  function getPause(endpoint: GatewayEndpoint): number {
    return pauses.getRemaining(endpoint, now());
  }

  function getWait(endpoint: GatewayEndpoint): number {
    const time = now();
    return Math.max(
      limits.getWait(endpoint, time),
      pauses.getRemaining(endpoint, time),
      cold?.getWait(endpoint) ?? 0,
    );
  }

  function getRate(endpoint: GatewayEndpoint): number {
    const coldRate = cold?.getRate(endpoint) ?? Infinity;
    return Math.min(limits.getRate(endpoint, now()), coldRate);
  }

  function getHold(endpoint: GatewayEndpoint): number {
    return Math.max(getPause(endpoint), cold?.getWait(endpoint) ?? 0);
  }

  function takesAhead(endpoint: GatewayEndpoint): boolean {
    return (cold?.getRate(endpoint) ?? Infinity) === Infinity;
  }

  function reserve(endpoint: GatewayEndpoint): number {
    const wait = Math.max(limits.reserve(endpoint, now()), getHold(endpoint));
    cold?.recordCall(endpoint, wait);
    if (wait > 0) metrics.count('limitedCalls', 'delayed');
    return wait;
  }

  return {
    recordAvailability,
    recordHead(endpoint, head) {
      recordAvailability(endpoint, head);
      const {isMisdirected, rateLimit} = head;
      if (isMisdirected) return;
      metrics.count('rateLimits', rateLimit.tag);
      if (rateLimit.tag === 'unreadable') {
        log.infoRateLimited('endpoint limit not readable', {
          step: 'limit',
          peer: endpoint.id,
          text: rateLimit.text,
        });
        return;
      }
      const rate = rateLimit.tag === 'named' ? rateLimit.callsPerSecond : null;
      const change = limits.recordResponse(endpoint, rate, now());
      if (change !== null) logChange(change);
    },
    recordReports(reports) {
      for (const change of limits.recordReports(reports, now())) {
        logChange(change);
      }
    },
    listReports: () => limits.listReports(now()),
    recordInstances(instances) {
      limits.recordInstances(instances, now());
      cold?.recordInstances(instances);
    },
    refresh() {
      limits.setStageServices(listStageServices(state));
      cold?.refresh();
    },
    getRate,
    getWait,
    leaveOutFull(endpoints) {
      const open = endpoints.filter(
        (endpoint) => (cold?.getWait(endpoint) ?? 0) === 0,
      );
      return open.length > 0 ? open : endpoints;
    },
    getPause,
    isWithdrawn: (endpoint) =>
      getPause(endpoint) > 0 ||
      state.directory.isLeaving(endpoint) ||
      state.directory.isEvacuated(endpoint),
    estimateWait: (service, endpoints) =>
      estimateLimitWait(
        endpoints.map((endpoint) => ({
          callsPerSecond: getPause(endpoint) > 0 ? 0 : getRate(endpoint),
          waitMilliseconds: getWait(endpoint),
        })),
        preparations.get(service) ?? 0,
      ),
    startPreparation(service) {
      preparations.set(service, (preparations.get(service) ?? 0) + 1);
      return () => {
        const remaining = preparations.get(service)! - 1;
        if (remaining > 0) preparations.set(service, remaining);
        else preparations.delete(service);
      };
    },
    getHold,
    reserve,
    ask(endpoint, priority, isBound) {
      const wait = getWait(endpoint);
      const isTaken = wait === 0 || isBound || takesAhead(endpoint);
      if (isTaken) return reserve(endpoint);
      metrics.count('limitedCalls', 'delayed');
      const steps = Math.min(Math.max(priority, 0), MAXIMUM_PRIORITY);
      return wait + steps * PRIORITY_STEP_MILLISECONDS;
    },
    takesAhead,
  };
}
