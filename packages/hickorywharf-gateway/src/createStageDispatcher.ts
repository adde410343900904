import {createStageCallTracker} from 'hickorywharf-decisions/gateway/createStageCallTracker';
import type {createEndpointHealth} from 'hickorywharf-decisions/gateway/createEndpointHealth';
import type {createRetryBudget} from 'hickorywharf-decisions/gateway/createRetryBudget';
import {estimateWaits} from 'hickorywharf-decisions/gateway/estimateWaits';
import {planBatch} from 'hickorywharf-decisions/gateway/planBatch';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import type {StageCapacity} from 'hickorywharf-types/gateway/stageCapacity';
import type {createEndpointLimiter} from './createEndpointLimiter.ts';
import {createResultTracker} from './createResultTracker.ts';
import {createStageCalls} from './createStageCalls.ts';
import {createStageQueues} from './createStageQueues.ts';
import {createStageStatistics} from './createStageStatistics.ts';
import type {EndpointClient} from './endpointClient.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import type {GatewayState} from './gatewayState.ts';
import type {OrderedPiece} from './orderedPiece.ts';
import type {QueuedGroup} from './queuedGroup.ts';
import type {StageDispatcher} from './stageDispatcher.ts';

interface DispatcherOptions {
  readonly state: GatewayState;
  readonly wire: GatewayWireFormat;
  readonly endpointClient: EndpointClient;
  readonly health: ReturnType<typeof createEndpointHealth>;
  readonly limiter: ReturnType<typeof createEndpointLimiter>;
  readonly budget: ReturnType<typeof createRetryBudget>;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  /** Monotonic milliseconds. */
  now(): number;
}

/** An endpoint that is free for a call. */
interface BatchTarget {
  readonly capacity: StageCapacity;
  readonly endpoint: GatewayEndpoint;
  /** The endpoints that the call may be sent to, this one included. */
  readonly endpoints: readonly GatewayEndpoint[];
  /** Whether the call may have pieces of overdue calls. */
  readonly mayHedge: boolean;
}

/** Interval at which queues are cleared of expired pieces and dispatched. */
const EXPIRY_CHECK_MILLISECONDS = 25;
/** Share of an endpoint's memory to fill, as result sizes are estimates. */
const MEMORY_SHARE = 0.98;
/**
 * Upper bound of the expected time until an endpoint is free. It keeps the time
 * finite for a service without endpoints.
 */
const MAXIMUM_WAIT_MILLISECONDS = 10_000;

/**
 * Creates the dispatcher that queues the pieces of stages and sends them in
 * batches to the endpoints of their services, one call at a time on each slot.
 * It serves the orders of this instance and of all peers that order from it.
 *
 * @example
 *     const dispatcher = createStageDispatcher(options);
 *     const cancel = dispatcher.order(order, (result) => results.push(result));
 *     cancel();
 */
export function createStageDispatcher(
  options: DispatcherOptions,
): StageDispatcher {
  const {state, wire, endpointClient, health, limiter, budget} = options;
  const {log, metrics, now} = options;
  const queues = createStageQueues();
  const callTracker = createStageCallTracker();
  const statistics = createStageStatistics(now);
  const results = createResultTracker({
    wire,
    endpointClient,
    limiter,
    log,
    metrics,
    now,
    isLeaving: state.directory.isLeaving,
    isEvacuated: state.directory.isEvacuated,
    onRelease({id, service}) {
      callTracker.clearFull(id);
      dispatch(service);
    },
  });
  const calls = createStageCalls({
    ...options,
    callTracker,
    queues,
    results,
    statistics,
    getCapacity,
    onQueued: startExpiryTimer,
    onProgress: dispatch,
  });
  let expiryTimer: NodeJS.Timeout | null = null;

  function logStatistics(service: string, counters: object): void {
    const endpoints = state.directory.getUsable(service);
    log.infoRateLimited('stage statistics', {
      step: 'stage',
      service,
      ...counters,
      waiting: queues.countWaiting(service),
      endpoints: endpoints.length,
      held: endpoints.map(({id}) => results.getAllocatedBytes(id)),
    });
  }

  /** Undefined if the active configuration has no such stage. */
  function getCapacity(service: string): StageCapacity | undefined {
    return state.configuration?.services.get(service)?.stage ?? undefined;
  }

  /**
   * The usable endpoints without a pause and, of these, without a health
   * penalty. An attribute that all have excludes none.
   */
  function getEndpoints(service: string): readonly GatewayEndpoint[] {
    const usable = state.directory.getUsable(service);
    const open = usable.filter((endpoint) => limiter.getPause(endpoint) === 0);
    const candidates = open.length > 0 ? open : usable;
    const time = now();
    const healthy = candidates.filter(
      ({id}) => health.getPenalty(id, time) === 0,
    );
    return healthy.length > 0 ? healthy : candidates;
  }

  /**
   * Stops tracking results that have expired, and drops queued pieces that can
   * no longer be computed before their deadline.
   */
  function dropExpired(): void {
    const time = now();
    results.dropExpired();
    for (const service of queues.listServices()) {
      for (const group of queues.get(service)) {
        if (time + group.workMilliseconds < group.deadlineAt) continue;
        dropQueued(group, 'expired');
      }
      const estimate = getEstimate(service);
      for (const group of estimate?.infeasible ?? []) {
        dropQueued(group, 'expired');
      }
    }
  }

  /** Null if the active configuration has no such stage. */
  function getEstimate(service: string) {
    const capacity = getCapacity(service);
    if (capacity === undefined) return null;
    const time = now();
    const endpoints = getEndpoints(service);
    const getFirstWait = (getWait: typeof callTracker.getWait): number => {
      const waits = endpoints.map((endpoint) =>
        Math.max(
          getWait(endpoint.id, capacity.slots, time),
          limiter.getWait(endpoint),
        ),
      );
      return Math.min(...waits, MAXIMUM_WAIT_MILLISECONDS);
    };
    const untilFreeMilliseconds = getFirstWait(callTracker.getWait);
    // A rate limit below what an endpoint can do makes it part of one.
    const callSeconds =
      (capacity.callMilliseconds +
        capacity.batch * capacity.pieceMilliseconds) /
      1000;
    const effectiveEndpoints = endpoints.reduce(
      (sum, endpoint) =>
        sum + Math.min(1, limiter.getRate(endpoint) * callSeconds),
      0,
    );
    const firsts = [...queues.get(service)].filter(({isHedge}) => !isHedge);
    return estimateWaits(firsts, time, {
      endpoints: effectiveEndpoints,
      batch: capacity.batch,
      callMilliseconds: capacity.callMilliseconds,
      untilFreeMilliseconds,
      overdueMilliseconds:
        getFirstWait(callTracker.estimateWait) - untilFreeMilliseconds,
    });
  }

  /**
   * Removes the queued pieces of a group, and reports them with a tag unless a
   * call with them is open.
   */
  function dropQueued(group: QueuedGroup, tag: 'expired' | 'failed'): void {
    const pieces = queues.take(group);
    if (group.isHedge) return;
    if (tag === 'expired') {
      statistics.get(group.service).expired += pieces.length;
    }
    for (const piece of pieces) {
      calls.settle(piece, {tag, piece: piece.position});
    }
  }

  function startExpiryTimer(): void {
    expiryTimer ??= setTimeout(() => {
      expiryTimer = null;
      dropExpired();
      statistics.summarize(logStatistics);
      for (const service of queues.listServices()) dispatch(service);
      if (!queues.isEmpty()) startExpiryTimer();
    }, EXPIRY_CHECK_MILLISECONDS);
  }

  /**
   * Sends queued pieces to the free endpoints of a service, at most one batch
   * to each. All queued pieces fail if the stage is no longer configured, or if
   * evacuations leave it no endpoint, unless a call with them is open.
   */
  function dispatch(service: string): void {
    const queue = queues.get(service);
    if (queue.size === 0) return;
    const capacity = getCapacity(service);
    if (capacity === undefined || state.directory.isEmptied(service)) {
      for (const group of queue) dropQueued(group, 'failed');
      return;
    }
    const endpoints = getEndpoints(service);
    const time = now();
    let mayHedge = true;
    for (const endpoint of endpoints) {
      if (!callTracker.isFree(endpoint.id, capacity.slots, time)) continue;
      if (limiter.getWait(endpoint) > 0) continue;
      const {batch, isRefused} = takeBatch(service, {
        capacity,
        endpoint,
        endpoints,
        // The endpoint may itself be the one that is silent with the pieces.
        mayHedge: mayHedge && !calls.isOverdue(endpoint),
      });
      mayHedge &&= !isRefused;
      if (batch.length > 0) calls.send(capacity, endpoint, batch);
    }
  }

  /**
   * Takes the pieces of an endpoint's next call out of their queue. `isRefused`
   * tells whether the retry budget had no room for a hedge.
   */
  function takeBatch(service: string, target: BatchTarget) {
    const {capacity, endpoint, endpoints, mayHedge} = target;
    const time = now();
    const batch: OrderedPiece[] = [];
    const plan = (withHedges: boolean) =>
      planBatch(
        [...queues.get(service)].filter(({isHedge}) => withHedges || !isHedge),
        time,
        {
          batch: capacity.batch - batch.length,
          callMilliseconds: capacity.callMilliseconds,
          endpoints: endpoints.length,
          roomBytes:
            capacity.roomBytes * MEMORY_SHARE -
            results.getAllocatedBytes(endpoint.id) -
            batch.reduce((sum, {order}) => sum + order.resultBytes, 0),
          failureDomain: endpoint.failureDomain,
          otherDomainWaits: callTracker.getOtherDomainWaits(
            endpoints,
            endpoint.failureDomain,
            capacity.slots,
            time,
          ),
        },
      );
    let shares = plan(mayHedge);
    let isRefused = false;
    for (const {group, count} of shares) {
      if (!group.isHedge) continue;
      const granted = takeHedges(group, count);
      batch.push(...granted);
      isRefused ||= granted.length < count;
    }
    // Other pieces take the places of those that the budget has no room for.
    if (isRefused) shares = plan(false);
    for (const {group, count} of shares) {
      if (group.isHedge) continue;
      group.isStarted = true;
      batch.push(...queues.take(group, count));
    }
    return {batch, isRefused};
  }

  /** Takes as many pieces as the retry budget has room for. */
  function takeHedges(group: QueuedGroup, count: number): OrderedPiece[] {
    const {service} = group;
    let granted = 0;
    while (
      granted < count &&
      budget.tryRetry(service, now(), state.instances.length)
    ) {
      granted += 1;
    }
    statistics.get(service).hedged += granted;
    return queues.take(group, granted);
  }

  return {
    order(order, onResult) {
      const startedAt = now();
      const {service, kind, priority, resultBytes, failureDomain} = order;
      const {account = null} = order;
      const targetAt = startedAt + order.targetMilliseconds;
      const deadlineAt = startedAt + order.deadlineMilliseconds;
      const workMilliseconds = calls.getPieceTime(
        kind,
        // 0 if the stage is not configured: its pieces fail at the dispatch.
        getCapacity(service)?.pieceMilliseconds ?? 0,
      );
      const createGroup = (isHedge: boolean): QueuedGroup => {
        const waiting: OrderedPiece[] = [];
        return {
          get count() {
            return waiting.length;
          },
          service,
          waiting,
          isHedge,
          isStarted: isHedge,
          priority,
          targetAt,
          deadlineAt,
          resultBytes,
          workMilliseconds,
          failureDomain,
          account,
          hasInputs: order.inputs !== null,
        };
      };
      const firsts = createGroup(false);
      const hedges = createGroup(true);
      const pieces = order.pieces.map((position): OrderedPiece => {
        budget.recordRequest(service, startedAt);
        return {
          order,
          position,
          firsts,
          hedges,
          deadlineAt,
          workMilliseconds,
          calls: new Set(),
          isQueued: false,
          sends: 0,
          isSettled: false,
          onResult,
        };
      });
      calls.enqueue(...pieces);
      queueMicrotask(() => dispatch(service));
      return () => {
        for (const piece of pieces) {
          piece.isSettled = true;
          queues.remove(piece);
        }
      };
    },
    getWaitEstimate(service) {
      const estimate = getEstimate(service);
      return estimate === null ? null : {service, ...estimate.waits};
    },
    free: results.free,
    freeAt(endpointId, handles) {
      const endpoint = state.directory.get(endpointId);
      if (endpoint !== undefined) results.freeAt(endpoint, handles);
    },
    removeEndpoint: callTracker.remove,
    refresh() {
      calls.refresh();
      for (const service of queues.listServices()) dispatch(service);
    },
  };
}
