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
import {createResultTracker} from './createResultTracker.ts';
import {createStageStatistics} from './createStageStatistics.ts';
import type {EndpointClient} from './endpointClient.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import type {GatewayState} from './gatewayState.ts';
import {sendStageCall} from './sendStageCall.ts';
import type {StageDispatcher} from './stageDispatcher.ts';

interface MakerOptions {
  readonly state: GatewayState;
  readonly wire: GatewayWireFormat;
  readonly endpointClient: EndpointClient;
  readonly health: ReturnType<typeof createEndpointHealth>;
  readonly budget: ReturnType<typeof createRetryBudget>;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  now(): number;
}

/** An order whose pieces wait, are under way or made. */
interface OpenGroup extends PieceGroup {
  readonly order: StageOrder;
  /** Pieces that wait, by their positions. */
  readonly waiting: number[];
  isBegun: boolean;
  isCancelled: boolean;
  onResult(result: StageResult): void;
}

/** A piece in a call. */
interface SentPiece {
  readonly group: OpenGroup;
  readonly piece: number;
}

/** A call that takes so much longer than usual is taken for lost. */
const PATIENCE_FACTOR = 2;
const PATIENCE_MILLISECONDS = 150;
/** The most times that a piece is sent. */
const MAXIMUM_SENDS = 4;
/** How often pieces are looked for whose time is over, while any wait. */
const SWEEP_MILLISECONDS = 25;
/** An endpoint without room is asked again after a result of it is freed. */
const FULL_MILLISECONDS = 80;
/** Sizes of results are stated roughly; a little room is kept back. */
const ROOM_SHARE = 0.98;
/** For a service without endpoints. */
const MAXIMUM_BUSY_MILLISECONDS = 10_000;

/**
 * Makes pieces of stages at all endpoints of their services, one call at a time
 * on each slot, for the requests of every instance that orders here.
 *
 * @example
 *     const maker = createStageDispatcher(options);
 *     const cancel = maker.order(order, (result) => take(result));
 */
export function createStageDispatcher(options: MakerOptions): StageDispatcher {
  const {
    state,
    wire,
    endpointClient: endpointClient,
    health,
    budget,
    log,
    metrics,
    now,
  } = options;
  const queues = new Map<string, Set<OpenGroup>>();
  /** How often each piece was sent. */
  const sends = new WeakMap<OpenGroup, Map<number, number>>();
  const workers = createStageCallTracker();
  const pieceTimes = createPieceTimeEstimator();
  const tally = createStageStatistics(now);
  const account = createResultTracker({
    wire,
    endpointClient: endpointClient,
    log,
    now,
    onRelease({id, service}) {
      workers.clearFull(id);
      pump(service);
    },
  });
  let sweep: NodeJS.Timeout | null = null;

  function summarize(service: string, figures: object): void {
    const endpoints = state.directory.getUsable(service);
    log.infoRateLimited('stage work', {
      step: 'stage',
      service,
      ...figures,
      waiting: countWaiting(service),
      endpoints: endpoints.length,
      held: endpoints.map(({id}) => account.getAllocatedBytes(id)),
    });
  }

  function getQueue(service: string): Set<OpenGroup> {
    let queue = queues.get(service);
    if (queue === undefined) queues.set(service, (queue = new Set()));
    return queue;
  }

  function countWaiting(service: string): number {
    let count = 0;
    for (const group of getQueue(service)) count += group.count;
    return count;
  }

  /** Undefined where the configuration no longer has the stage. */
  function getCapacity(service: string): StageCapacity | undefined {
    return state.configuration?.services.get(service)?.stage ?? undefined;
  }

  function getPieceTime({service, kind}: StageOrder): number {
    const usual = getCapacity(service)?.pieceMilliseconds ?? 0;
    return pieceTimes.get(kind, usual);
  }

  /** The endpoints that are well; without any, all of them. */
  function getEndpoints(service: string): readonly GatewayEndpoint[] {
    const usable = state.directory.getUsable(service);
    const time = now();
    const well = usable.filter(({id}) => health.getPenalty(id, time) === 0);
    return well.length > 0 ? well : usable;
  }

  function dropExpired(): void {
    const time = now();
    account.dropExpired();
    for (const queue of queues.values()) {
      for (const group of queue) {
        if (time + group.workMilliseconds < group.deadlineAt) continue;
        dropWaiting(group, 'expired');
      }
    }
    for (const service of queues.keys()) {
      const estimate = getEstimate(service);
      for (const group of estimate?.infeasible ?? []) {
        dropWaiting(group, 'expired');
      }
    }
  }

  function getEstimate(service: string) {
    const capacity = getCapacity(service);
    if (capacity === undefined) return null;
    const time = now();
    const endpoints = getEndpoints(service);
    const busy = endpoints.map(({id}) =>
      workers.getWait(id, capacity.slots, time),
    );
    return estimateWaits(getQueue(service), time, {
      endpoints: endpoints.length,
      batch: capacity.batch,
      callMilliseconds: capacity.callMilliseconds,
      untilFreeMilliseconds: Math.min(...busy, MAXIMUM_BUSY_MILLISECONDS),
    });
  }

  /** Ends the pieces of a group that wait. */
  function dropWaiting(group: OpenGroup, tag: 'expired' | 'failed'): void {
    const {service} = group.order;
    getQueue(service).delete(group);
    if (tag === 'expired') tally.get(service).expired += group.count;
    for (const piece of group.waiting.splice(0)) group.onResult({tag, piece});
  }

  function startSweep(): void {
    sweep ??= setTimeout(() => {
      sweep = null;
      dropExpired();
      tally.summarize(summarize);
      for (const service of queues.keys()) pump(service);
      if ([...queues.values()].some(({size}) => size > 0)) startSweep();
    }, SWEEP_MILLISECONDS);
  }

  function pump(service: string): void {
    const queue = getQueue(service);
    if (queue.size === 0) return;
    const capacity = getCapacity(service);
    if (capacity === undefined) {
      for (const group of queue) dropWaiting(group, 'failed');
      return;
    }
    const endpoints = getEndpoints(service);
    const time = now();
    for (const endpoint of endpoints) {
      if (!workers.isFree(endpoint.id, capacity.slots, time)) continue;
      const shares = planBatch(queue, time, {
        batch: capacity.batch,
        callMilliseconds: capacity.callMilliseconds,
        roomBytes:
          capacity.roomBytes * ROOM_SHARE -
          account.getAllocatedBytes(endpoint.id),
        failureDomain: endpoint.failureDomain,
        otherDomainWaits: workers.getOtherDomainWaits(
          endpoints,
          endpoint.failureDomain,
          capacity.slots,
          time,
        ),
      });
      if (shares.length === 0) continue;
      const batch = shares.flatMap(({group, count}) => {
        group.isBegun = true;
        const pieces = group.waiting.splice(0, count);
        if (group.waiting.length === 0) queue.delete(group);
        return pieces.map((piece) => ({group, piece}));
      });
      sendBatch(capacity, endpoint, batch);
    }
  }

  function requeue({group, piece}: SentPiece, reason: string): void {
    if (group.isCancelled) return;
    const {service, requestId, stage} = group.order;
    const count = sends.get(group)?.get(piece) ?? 0;
    const mayRepeat =
      count < MAXIMUM_SENDS &&
      budget.tryRetry(service, now(), state.instances.length);
    if (mayRepeat) {
      wait(group, piece);
      return;
    }
    log.infoRateLimited('piece given up', {
      requestId,
      step: 'stage',
      stage,
      piece,
      sends: count,
      reason,
    });
    group.onResult({tag: 'failed', piece});
  }

  function wait(group: OpenGroup, ...pieces: readonly number[]): void {
    const {service} = group.order;
    group.waiting.push(...pieces);
    getQueue(service).add(group);
    const figures = tally.get(service);
    figures.longestQueue = Math.max(
      figures.longestQueue,
      countWaiting(service),
    );
    startSweep();
  }

  const outcomeHandlers: {
    [Tag in PieceOutcome['tag']]: (
      sent: SentPiece,
      endpoint: GatewayEndpoint,
      outcome: Extract<PieceOutcome, {tag: Tag}>,
    ) => void;
  } = {
    made({group, piece}, endpoint, {handle}) {
      const {service, resultBytes} = group.order;
      const keep = getCapacity(service)?.keepMilliseconds ?? 0;
      account.add(handle, endpoint, resultBytes, keep);
      if (group.isCancelled) account.free([handle]);
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
      tally.get(group.order.service).noRoom += 1;
      if (!group.isCancelled) wait(group, piece);
    },
    failed: (sent) => requeue(sent, 'failed'),
  };

  function sendBatch(
    capacity: StageCapacity,
    endpoint: GatewayEndpoint,
    batch: readonly SentPiece[],
  ): void {
    const startedAt = now();
    const work = batch.reduce(
      (sum, {group}) => sum + group.workMilliseconds,
      0,
    );
    const expected = capacity.callMilliseconds + work;
    const usual = expected * workers.getSlowness(endpoint.id);
    const endCall = workers.begin(endpoint.id, usual, startedAt);
    const unreserve = account.reserve(
      endpoint.id,
      batch.reduce((sum, {group}) => sum + group.resultBytes, 0),
    );
    for (const {group, piece} of batch) {
      const counts = sends.get(group) ?? new Map<number, number>();
      sends.set(group, counts.set(piece, (counts.get(piece) ?? 0) + 1));
    }
    const figures = tally.get(endpoint.service);
    figures.calls += 1;
    figures.pieces += batch.length;

    function finish(): void {
      endCall();
      unreserve();
    }
    function learn(took: number): void {
      health.recordResponse(endpoint.id, took);
      workers.recordSlowness(endpoint.id, took / expected);
      pieceTimes.observe(
        batch.map(({group}) => group.order.kind),
        capacity.pieceMilliseconds,
        took / workers.getSlowness(endpoint.id) - capacity.callMilliseconds,
      );
    }

    sendStageCall({
      wire,
      endpointClient: endpointClient,
      endpoint,
      timeoutMilliseconds: usual * PATIENCE_FACTOR + PATIENCE_MILLISECONDS,
      pieces: batch.map(({group: {order, deadlineAt}, piece}) => ({
        requestId: order.requestId,
        stage: order.stage,
        piece,
        timeLeftMilliseconds: Math.max(1, Math.floor(deadlineAt - startedAt)),
        key: order.key,
        inputs: order.inputs,
      })),
      onFailure(reason, isSilent) {
        finish();
        if (isSilent) health.recordTimeout(endpoint.id, now());
        health.recordFailure(endpoint.id, now());
        metrics.count('stageCalls', 'failed');
        log.infoRateLimited('stage call failed', {
          step: 'stage',
          peer: endpoint.id,
          service: endpoint.service,
          pieces: batch.length,
          reason,
        });
        for (const sent of batch) requeue(sent, reason);
        pump(endpoint.service);
      },
      onOutcomes(outcomes) {
        finish();
        const took = now() - startedAt;
        metrics.count('stageCalls', 'answered');
        metrics.time('stageCall', took);
        learn(took);
        // A maker that made some pieces may be asked again at once: it says
        // itself what fits, and others' results end without our knowing.
        if (outcomes.every(({tag}) => tag === 'noRoom')) {
          workers.markFull(endpoint.id, now() + FULL_MILLISECONDS);
        }
        outcomes.forEach((outcome, index) => {
          metrics.count('pieces', outcome.tag);
          const handle = outcomeHandlers[outcome.tag];
          handle(batch[index]!, endpoint, outcome as never);
        });
        pump(endpoint.service);
      },
    });
  }

  return {
    order(order, onResult) {
      const startedAt = now();
      const waiting: number[] = [];
      const group: OpenGroup = {
        get count() {
          return waiting.length;
        },
        isBegun: false,
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
      wait(group, ...order.pieces);
      queueMicrotask(() => pump(order.service));
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
    free: account.free,
    freeAt(endpointId, handles) {
      const endpoint = state.directory.get(endpointId);
      if (endpoint !== undefined) account.freeAt(endpoint, handles);
    },
    forget: workers.forget,
    refresh() {
      for (const service of queues.keys()) pump(service);
    },
  };
}
