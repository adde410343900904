import {createPieceTimeEstimator} from 'hickorywharf-decisions/gateway/createPieceTimeEstimator';
import {createStageCallTracker} from 'hickorywharf-decisions/gateway/createStageCallTracker';
import type {createEndpointHealth} from 'hickorywharf-decisions/gateway/createEndpointHealth';
import type {createRetryBudget} from 'hickorywharf-decisions/gateway/createRetryBudget';
import type {PieceGroup} from 'hickorywharf-decisions/gateway/pieceGroup';
import {estimateWaits} from 'hickorywharf-decisions/gateway/estimateWaits';
import {planBatch} from 'hickorywharf-decisions/gateway/planBatch';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import type {PieceOutcome} from 'hickorywharf-types/gateway/pieceOutcome';
import type {StageCapacity} from 'hickorywharf-types/gateway/stageCapacity';
import type {StageOrder} from 'hickorywharf-types/gateway/stageOrder';
import type {StageResult} from 'hickorywharf-types/gateway/stageResult';
import type {createEndpointLimiter} from './createEndpointLimiter.ts';
import {createResultTracker} from './createResultTracker.ts';
import {createStageStatistics} from './createStageStatistics.ts';
import type {EndpointClient} from './endpointClient.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import type {GatewayState} from './gatewayState.ts';
import {sendStageCall} from './sendStageCall.ts';
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

/** An order some of whose pieces are queued, in flight or finished. */
interface QueuedGroup extends PieceGroup {
  readonly order: StageOrder;
  /** Positions of the queued pieces. */
  readonly waiting: number[];
  isStarted: boolean;
  isCancelled: boolean;
  onResult(result: StageResult): void;
}

/** A piece of a batch that was sent to an endpoint. */
interface SentPiece {
  readonly group: QueuedGroup;
  readonly piece: number;
}

/**
 * A call times out after its expected duration times the factor plus the
 * margin. Its pieces are retried, and its endpoint gets a health penalty.
 */
const TIMEOUT_FACTOR = 2;
const TIMEOUT_MARGIN_MILLISECONDS = 150;
/**
 * A piece whose call fails is not retried after this many sends. Rejections for
 * lack of memory count as sends, but the piece is always queued again.
 */
const MAXIMUM_SENDS = 4;
/** Interval at which queues are cleared of expired pieces and dispatched. */
const EXPIRY_CHECK_MILLISECONDS = 25;
/**
 * How long an endpoint that rejected a whole batch for lack of memory gets no
 * call, unless one of its results is freed earlier.
 */
const FULL_BACKOFF_MILLISECONDS = 80;
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
  const queues = new Map<string, Set<QueuedGroup>>();
  /** Number of sends of each piece, by its group and position. */
  const sends = new WeakMap<QueuedGroup, Map<number, number>>();
  const callTracker = createStageCallTracker();
  const pieceTimes = createPieceTimeEstimator();
  const statistics = createStageStatistics(now);
  const results = createResultTracker({
    wire,
    endpointClient,
    limiter,
    log,
    metrics,
    now,
    isLeaving: state.directory.isLeaving,
    onRelease({id, service}) {
      callTracker.clearFull(id);
      dispatch(service);
    },
  });
  let expiryTimer: NodeJS.Timeout | null = null;

  function logStatistics(service: string, counters: object): void {
    const endpoints = state.directory.getUsable(service);
    log.infoRateLimited('stage statistics', {
      step: 'stage',
      service,
      ...counters,
      waiting: countWaiting(service),
      endpoints: endpoints.length,
      held: endpoints.map(({id}) => results.getAllocatedBytes(id)),
    });
  }

  /** Created on first use. */
  function getQueue(service: string): Set<QueuedGroup> {
    let queue = queues.get(service);
    if (queue === undefined) queues.set(service, (queue = new Set()));
    return queue;
  }

  function countWaiting(service: string): number {
    let count = 0;
    for (const group of getQueue(service)) count += group.count;
    return count;
  }

  /** Undefined if the active configuration has no such stage. */
  function getCapacity(service: string): StageCapacity | undefined {
    return state.configuration?.services.get(service)?.stage ?? undefined;
  }

  function getPieceTime({service, kind}: StageOrder): number {
    // 0 if the stage is not configured: its pieces fail when it is dispatched.
    const configured = getCapacity(service)?.pieceMilliseconds ?? 0;
    return pieceTimes.get(kind, configured);
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
    for (const queue of queues.values()) {
      for (const group of queue) {
        if (time + group.workMilliseconds < group.deadlineAt) continue;
        dropQueued(group, 'expired');
      }
    }
    for (const service of queues.keys()) {
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
    const waits = endpoints.map((endpoint) =>
      Math.max(
        callTracker.getWait(endpoint.id, capacity.slots, time),
        limiter.getWait(endpoint),
      ),
    );
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
    return estimateWaits(getQueue(service), time, {
      endpoints: effectiveEndpoints,
      batch: capacity.batch,
      callMilliseconds: capacity.callMilliseconds,
      untilFreeMilliseconds: Math.min(...waits, MAXIMUM_WAIT_MILLISECONDS),
    });
  }

  /** Removes the queued pieces of a group and reports them with a tag. */
  function dropQueued(group: QueuedGroup, tag: 'expired' | 'failed'): void {
    const {service} = group.order;
    getQueue(service).delete(group);
    if (tag === 'expired') statistics.get(service).expired += group.count;
    for (const piece of group.waiting.splice(0)) group.onResult({tag, piece});
  }

  function startExpiryTimer(): void {
    expiryTimer ??= setTimeout(() => {
      expiryTimer = null;
      dropExpired();
      statistics.summarize(logStatistics);
      for (const service of queues.keys()) dispatch(service);
      if ([...queues.values()].some(({size}) => size > 0)) startExpiryTimer();
    }, EXPIRY_CHECK_MILLISECONDS);
  }

  /**
   * Sends queued pieces to the free endpoints of a service, at most one batch
   * to each. All queued pieces fail if the stage is no longer configured.
   */
  function dispatch(service: string): void {
    const queue = getQueue(service);
    if (queue.size === 0) return;
    const capacity = getCapacity(service);
    if (capacity === undefined) {
      for (const group of queue) dropQueued(group, 'failed');
      return;
    }
    const endpoints = getEndpoints(service);
    const time = now();
    for (const endpoint of endpoints) {
      if (!callTracker.isFree(endpoint.id, capacity.slots, time)) continue;
      if (limiter.getWait(endpoint) > 0) continue;
      const shares = planBatch(queue, time, {
        batch: capacity.batch,
        callMilliseconds: capacity.callMilliseconds,
        roomBytes:
          capacity.roomBytes * MEMORY_SHARE -
          results.getAllocatedBytes(endpoint.id),
        failureDomain: endpoint.failureDomain,
        otherDomainWaits: callTracker.getOtherDomainWaits(
          endpoints,
          endpoint.failureDomain,
          capacity.slots,
          time,
        ),
      });
      if (shares.length === 0) continue;
      const batch = shares.flatMap(({group, count}) => {
        group.isStarted = true;
        const pieces = group.waiting.splice(0, count);
        if (group.waiting.length === 0) queue.delete(group);
        return pieces.map((piece) => ({group, piece}));
      });
      sendBatch(capacity, endpoint, batch);
    }
  }

  function retry({group, piece}: SentPiece, reason: string): void {
    if (group.isCancelled) return;
    const {service, requestId, stage} = group.order;
    const count = sends.get(group)?.get(piece) ?? 0;
    const mayRetry =
      count < MAXIMUM_SENDS &&
      budget.tryRetry(service, now(), state.instances.length);
    if (mayRetry) {
      enqueue(group, piece);
      return;
    }
    log.infoRateLimited('piece failed', {
      requestId,
      step: 'stage',
      stage,
      piece,
      sends: count,
      reason,
    });
    group.onResult({tag: 'failed', piece});
  }

  function enqueue(group: QueuedGroup, ...pieces: readonly number[]): void {
    const {service} = group.order;
    group.waiting.push(...pieces);
    getQueue(service).add(group);
    const counters = statistics.get(service);
    counters.longestQueue = Math.max(
      counters.longestQueue,
      countWaiting(service),
    );
    startExpiryTimer();
  }

  const outcomeHandlers: {
    [Tag in PieceOutcome['tag']]: (
      sent: SentPiece,
      endpoint: GatewayEndpoint,
      outcome: Extract<PieceOutcome, {tag: Tag}>,
    ) => void;
  } = {
    made({group, piece}, endpoint, {handle}) {
      const {service, resultBytes, requestId, stage} = group.order;
      if (results.has(handle)) {
        log.infoRateLimited('stage result reported twice', {
          requestId,
          step: 'stage',
          peer: endpoint.id,
          stage,
          piece,
          handle,
        });
      }
      // 0 if the stage was removed from the configuration during the call.
      const keep = getCapacity(service)?.keepMilliseconds ?? 0;
      results.add(handle, endpoint, resultBytes, keep);
      if (group.isCancelled) results.free([handle]);
      else {
        group.onResult({tag: 'made', piece, handle, endpointId: endpoint.id});
      }
    },
    late({group, piece}) {
      if (!group.isCancelled) group.onResult({tag: 'expired', piece});
    },
    inputGone({group, piece}) {
      if (!group.isCancelled) group.onResult({tag: 'inputGone', piece});
    },
    noRoom({group, piece}) {
      statistics.get(group.order.service).noRoom += 1;
      if (!group.isCancelled) enqueue(group, piece);
    },
    failed: (sent) => retry(sent, 'failed'),
  };

  function sendBatch(
    capacity: StageCapacity,
    endpoint: GatewayEndpoint,
    batch: readonly SentPiece[],
  ): void {
    limiter.reserve(endpoint);
    const startedAt = now();
    const work = batch.reduce(
      (sum, {group}) => sum + group.workMilliseconds,
      0,
    );
    // At an endpoint of slowness 1; `predicted` is the time at `endpoint`.
    const expected = capacity.callMilliseconds + work;
    const predicted = expected * callTracker.getSlowness(endpoint.id);
    const endCall = callTracker.startCall(endpoint.id, predicted, startedAt);
    const cancelReservation = results.reserve(
      endpoint.id,
      batch.reduce((sum, {group}) => sum + group.resultBytes, 0),
    );
    for (const {group, piece} of batch) {
      const counts = sends.get(group) ?? new Map<number, number>();
      sends.set(group, counts.set(piece, (counts.get(piece) ?? 0) + 1));
    }
    const counters = statistics.get(endpoint.service);
    counters.calls += 1;
    counters.pieces += batch.length;

    function finish(): void {
      endCall();
      cancelReservation();
    }
    function recordTime(elapsed: number): void {
      health.recordResponse(endpoint.id, elapsed);
      callTracker.recordSlowness(endpoint.id, elapsed / expected);
      pieceTimes.observe(
        batch.map(({group}) => group.order.kind),
        capacity.pieceMilliseconds,
        elapsed / callTracker.getSlowness(endpoint.id) -
          capacity.callMilliseconds,
      );
    }

    sendStageCall({
      wire,
      endpointClient,
      endpoint,
      timeoutMilliseconds:
        predicted * TIMEOUT_FACTOR + TIMEOUT_MARGIN_MILLISECONDS,
      pieces: batch.map(({group: {order, deadlineAt}, piece}) => ({
        requestId: order.requestId,
        stage: order.stage,
        piece,
        timeLeftMilliseconds: Math.max(1, Math.floor(deadlineAt - startedAt)),
        key: order.key,
        inputs: order.inputs,
      })),
      mayStillSend: () => !limiter.isWithdrawn(endpoint),
      onHead: (head) => limiter.recordHead(endpoint, head),
      onFailure(reason, isTimeout) {
        finish();
        if (isTimeout) health.recordTimeout(endpoint.id, now());
        health.recordFailure(endpoint.id, now());
        metrics.count('stageCalls', 'failed');
        log.infoRateLimited('stage call failed', {
          step: 'stage',
          peer: endpoint.id,
          service: endpoint.service,
          pieces: batch.length,
          reason,
        });
        for (const sent of batch) retry(sent, reason);
        dispatch(endpoint.service);
      },
      onOutcomes(outcomes) {
        finish();
        const elapsed = now() - startedAt;
        metrics.count('stageCalls', 'answered');
        metrics.time('stageCall', elapsed);
        // A rejected piece takes no time, so such a call says nothing about it.
        if (outcomes.every(({tag}) => tag === 'made')) recordTime(elapsed);
        // An endpoint that computed some pieces gets the next call at once: it
        // rejects pieces that do not fit, and results of other dispatchers may
        // be freed there without notice.
        if (outcomes.every(({tag}) => tag === 'noRoom')) {
          callTracker.markFull(endpoint.id, now() + FULL_BACKOFF_MILLISECONDS);
        }
        outcomes.forEach((outcome, index) => {
          metrics.count('pieces', outcome.tag);
          const handle = outcomeHandlers[outcome.tag];
          handle(batch[index]!, endpoint, outcome as never);
        });
        dispatch(endpoint.service);
      },
    });
  }

  return {
    order(order, onResult) {
      const startedAt = now();
      const waiting: number[] = [];
      const group: QueuedGroup = {
        get count() {
          return waiting.length;
        },
        isStarted: false,
        priority: order.priority,
        targetAt: startedAt + order.targetMilliseconds,
        deadlineAt: startedAt + order.deadlineMilliseconds,
        resultBytes: order.resultBytes,
        workMilliseconds: getPieceTime(order),
        failureDomain: order.failureDomain,
        order,
        waiting,
        isCancelled: false,
        onResult,
      };
      for (const _piece of order.pieces) {
        budget.recordRequest(order.service, startedAt);
      }
      enqueue(group, ...order.pieces);
      queueMicrotask(() => dispatch(order.service));
      return () => {
        group.isCancelled = true;
        group.waiting.length = 0;
        getQueue(order.service).delete(group);
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
      for (const service of queues.keys()) dispatch(service);
    },
  };
}
