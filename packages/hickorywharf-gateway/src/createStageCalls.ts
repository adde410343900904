import type {createEndpointHealth} from 'hickorywharf-decisions/gateway/createEndpointHealth';
import {createPieceTimeEstimator} from 'hickorywharf-decisions/gateway/createPieceTimeEstimator';
import type {createRetryBudget} from 'hickorywharf-decisions/gateway/createRetryBudget';
import type {createStageCallTracker} from 'hickorywharf-decisions/gateway/createStageCallTracker';
import {findPiecesToHedge} from 'hickorywharf-decisions/gateway/findPiecesToHedge';
import {MAXIMUM_PIECE_SENDS} from 'hickorywharf-decisions/gateway/maximumPieceSends';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import type {PieceOutcome} from 'hickorywharf-types/gateway/pieceOutcome';
import type {StageCapacity} from 'hickorywharf-types/gateway/stageCapacity';
import type {StageResult} from 'hickorywharf-types/gateway/stageResult';
import {startTimeout} from 'hickorywharf-utils/startTimeout';
import type {createEndpointLimiter} from './createEndpointLimiter.ts';
import type {createResultTracker} from './createResultTracker.ts';
import type {createStageQueues} from './createStageQueues.ts';
import type {createStageStatistics} from './createStageStatistics.ts';
import type {EndpointClient} from './endpointClient.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import type {GatewayState} from './gatewayState.ts';
import type {OpenStageCall} from './openStageCall.ts';
import type {OrderedPiece} from './orderedPiece.ts';
import {sendStageCall} from './sendStageCall.ts';

interface CallsOptions {
  readonly state: GatewayState;
  readonly wire: GatewayWireFormat;
  readonly endpointClient: EndpointClient;
  readonly health: ReturnType<typeof createEndpointHealth>;
  readonly limiter: ReturnType<typeof createEndpointLimiter>;
  readonly budget: ReturnType<typeof createRetryBudget>;
  readonly callTracker: ReturnType<typeof createStageCallTracker>;
  readonly queues: ReturnType<typeof createStageQueues>;
  readonly results: ReturnType<typeof createResultTracker>;
  readonly statistics: ReturnType<typeof createStageStatistics>;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  /** Monotonic milliseconds. */
  now(): number;
  /** Undefined if the active configuration has no such stage. */
  getCapacity(service: string): StageCapacity | undefined;
  /** Called after pieces were queued. */
  onQueued(service: string): void;
  /** Called when an endpoint may be free, or pieces may be sent to another. */
  onProgress(service: string): void;
}

interface StageCalls {
  /** Sends pieces that wait in no group to an endpoint, in one call. */
  send(
    capacity: StageCapacity,
    endpoint: GatewayEndpoint,
    batch: readonly OrderedPiece[],
  ): void;
  /** Whether a call to the endpoint is overdue. */
  isOverdue(endpoint: GatewayEndpoint): boolean;
  /** Expected time that a piece of a kind adds to a call, in milliseconds. */
  getPieceTime(kind: string, configured: number): number;
  /** Queues pieces of an order that are a part of no call. */
  enqueue(...pieces: readonly OrderedPiece[]): void;
  /** Reports the outcome of a piece, unless the piece is settled. */
  settle(piece: OrderedPiece, result: StageResult): void;
  /** Ends the overdue calls to processes that have a successor. */
  refresh(): void;
}

/** A call that was sent, with what ends it before its response. */
interface SentCall extends OpenStageCall {
  /** Monotonic milliseconds. */
  readonly startedAt: number;
  /** Ends the call as a failure. */
  fail(reason: string): void;
  /** Ends the call, whose response was lost. */
  lose(): void;
}

/**
 * A call is overdue after its expected duration times the factor plus the
 * margin. Its endpoint gets a health penalty.
 */
const OVERDUE_FACTOR = 2;
const OVERDUE_MARGIN_MILLISECONDS = 150;
/**
 * How long an endpoint that rejected a whole batch for lack of memory gets no
 * call, unless one of its results is freed earlier.
 */
const FULL_BACKOFF_MILLISECONDS = 80;

const isSameProcess = (
  left: GatewayEndpoint,
  right: GatewayEndpoint,
): boolean => left.id === right.id && left.startedAt === right.startedAt;

/**
 * Creates the calls that dispatched pieces are made by, and decides what
 * becomes of each piece. A call that is overdue stays open, since a silent
 * endpoint may still answer: its pieces are queued once more for other
 * endpoints, and the first result of a piece is used. It ends when the deadlines
 * of all its pieces have passed, or the endpoint has answered a later call, and
 * so has lost this response; until then, results that are not needed any more
 * can be freed. The endpoint gets no other call during its health penalty.
 *
 * @example
 *     const calls = createStageCalls(options);
 *     calls.send(capacity, endpoint, pieces);
 */
export function createStageCalls(options: CallsOptions): StageCalls {
  const {state, health, limiter, budget, callTracker, queues, results} =
    options;
  const {statistics, log, metrics, now, getCapacity} = options;
  const pieceTimes = createPieceTimeEstimator();
  const overdueCalls = new Set<SentCall>();

  function enqueue(...pieces: readonly OrderedPiece[]): void {
    const service = pieces[0]?.order.service;
    if (service === undefined) return;
    for (const piece of pieces) queues.add(piece.firsts, piece);
    const counters = statistics.get(service);
    counters.longestQueue = Math.max(
      counters.longestQueue,
      queues.countWaiting(service),
    );
    options.onQueued(service);
  }

  /** Queues those pieces once more whose calls are all overdue. */
  function hedge(pieces: readonly OrderedPiece[]): void {
    for (const piece of pieces) {
      const {service} = piece.order;
      const callMilliseconds = getCapacity(service)?.callMilliseconds;
      if (callMilliseconds === undefined) continue;
      if (findPiecesToHedge([piece], now(), callMilliseconds).length === 0) {
        continue;
      }
      queues.add(piece.hedges, piece);
      options.onQueued(service);
    }
  }

  function settle(piece: OrderedPiece, result: StageResult): void {
    if (piece.isSettled) return;
    piece.isSettled = true;
    queues.remove(piece);
    piece.onResult(result);
  }

  /** Queues a piece again that is a part of no call, or fails it. */
  function retry(piece: OrderedPiece, reason: string): void {
    const {service, requestId, stage} = piece.order;
    const {sends, position} = piece;
    const mayRetry =
      sends < MAXIMUM_PIECE_SENDS &&
      budget.tryRetry(service, now(), state.instances.length);
    if (mayRetry) return enqueue(piece);
    log.infoRateLimited('piece failed', {
      requestId,
      step: 'stage',
      stage,
      piece: position,
      sends,
      reason,
    });
    settle(piece, {tag: 'failed', piece: position});
  }

  /**
   * Ends the part of a call in a piece that it has not made. While another call
   * may still make the piece, the piece only may become a hedge.
   */
  function endWithoutResult(piece: OrderedPiece, handleLast: () => void): void {
    if (piece.isSettled) return;
    if (piece.calls.size > 0) return hedge([piece]);
    queues.remove(piece);
    handleLast();
  }

  const outcomeHandlers: {
    [Tag in PieceOutcome['tag']]: (
      piece: OrderedPiece,
      endpoint: GatewayEndpoint,
      outcome: Extract<PieceOutcome, {tag: Tag}>,
    ) => void;
  } = {
    made(piece, endpoint, {handle}) {
      const {service, resultBytes, requestId, stage} = piece.order;
      const isKnown = results.has(handle);
      if (isKnown) {
        log.infoRateLimited('stage result reported twice', {
          requestId,
          step: 'stage',
          peer: endpoint.id,
          stage,
          piece: piece.position,
          handle,
        });
      }
      // 0 if the stage was removed from the configuration during the call.
      const keep = getCapacity(service)?.keepMilliseconds ?? 0;
      results.add(handle, endpoint, resultBytes, keep);
      if (!piece.isSettled) {
        const endpointId = endpoint.id;
        settle(piece, {tag: 'made', piece: piece.position, handle, endpointId});
      } else if (!isKnown) results.free([handle]);
    },
    late(piece) {
      endWithoutResult(piece, () =>
        settle(piece, {tag: 'expired', piece: piece.position}),
      );
    },
    inputGone(piece) {
      endWithoutResult(piece, () =>
        settle(piece, {tag: 'inputGone', piece: piece.position}),
      );
    },
    noRoom(piece) {
      statistics.get(piece.order.service).noRoom += 1;
      endWithoutResult(piece, () => enqueue(piece));
    },
    failed(piece) {
      endWithoutResult(piece, () => retry(piece, 'failed'));
    },
  };

  function hasSuccessor({id, startedAt}: GatewayEndpoint): boolean {
    const listed = state.directory.get(id);
    return listed !== undefined && listed.startedAt !== startedAt;
  }

  function send(
    capacity: StageCapacity,
    endpoint: GatewayEndpoint,
    batch: readonly OrderedPiece[],
  ): void {
    limiter.reserve(endpoint);
    const startedAt = now();
    const work = batch.reduce(
      (sum, {workMilliseconds}) => sum + workMilliseconds,
      0,
    );
    // At an endpoint of slowness 1; `predicted` is the time at `endpoint`.
    const expected = capacity.callMilliseconds + work;
    const predicted = expected * callTracker.getSlowness(endpoint.id);
    const endCall = callTracker.startCall(endpoint.id, predicted, startedAt);
    const cancelReservation = results.reserve(
      endpoint.id,
      batch.reduce((sum, {order}) => sum + order.resultBytes, 0),
    );
    const call: SentCall = {endpoint, startedAt, isOverdue: false, fail, lose};
    for (const piece of batch) {
      piece.sends += 1;
      piece.calls.add(call);
    }
    const counters = statistics.get(endpoint.service);
    counters.calls += 1;
    counters.pieces += batch.length;

    function finish(): void {
      stopTimeout();
      clearTimeout(penaltyTimer);
      overdueCalls.delete(call);
      endCall();
      cancelReservation();
      for (const piece of batch) piece.calls.delete(call);
    }
    function recordTime(elapsed: number): void {
      health.recordResponse(endpoint.id, elapsed);
      callTracker.recordSlowness(endpoint.id, elapsed / expected);
      pieceTimes.observe(
        batch.map(({order}) => order.kind),
        capacity.pieceMilliseconds,
        elapsed / callTracker.getSlowness(endpoint.id) -
          capacity.callMilliseconds,
      );
    }
    function logCall(message: string, reason: string): void {
      log.infoRateLimited(message, {
        step: 'stage',
        peer: endpoint.id,
        service: endpoint.service,
        pieces: batch.length,
        reason,
      });
    }
    function handleFailure(reason: string): void {
      finish();
      health.recordFailure(endpoint.id, now());
      metrics.count('stageCalls', 'failed');
      logCall('stage call failed', reason);
      for (const piece of batch) {
        endWithoutResult(piece, () => retry(piece, reason));
      }
      options.onProgress(endpoint.service);
    }
    function fail(reason: string): void {
      abort();
      handleFailure(reason);
    }
    /** With one slot, an endpoint answers in the order of its calls. */
    function loseEarlier(): void {
      for (const earlier of [...overdueCalls]) {
        const isSame = isSameProcess(earlier.endpoint, endpoint);
        if (isSame && earlier.startedAt < startedAt) earlier.lose();
      }
    }
    function lose(): void {
      abort();
      finish();
      metrics.count('stageCalls', 'lost');
      logCall('stage call lost', 'a later call was answered');
      for (const piece of batch) {
        endWithoutResult(piece, () => retry(piece, 'lost'));
      }
    }
    function handleOverdue(): void {
      call.isOverdue = true;
      overdueCalls.add(call);
      health.recordTimeout(endpoint.id, now());
      logCall('stage call overdue', 'no response in time');
      if (hasSuccessor(endpoint)) return fail('the endpoint restarted');
      hedge(batch);
      penaltyTimer = setTimeout(
        () => {
          endCall();
          options.onProgress(endpoint.service);
        },
        health.getPenalty(endpoint.id, now()),
      );
      handleDeadlines();
      options.onProgress(endpoint.service);
    }
    /** Expires the pieces that no other call can make before their deadline. */
    function handleDeadlines(): void {
      const time = now();
      const left = batch.flatMap(({deadlineAt}) =>
        deadlineAt > time ? [deadlineAt - time] : [],
      );
      if (left.length > 0) {
        stopTimeout = startTimeout({
          milliseconds: Math.min(...left),
          onTimeout: handleDeadlines,
        });
      } else {
        finish();
        abort();
        metrics.count('stageCalls', 'expired');
        logCall('stage call given up', 'the deadlines have passed');
      }
      for (const piece of batch) {
        if (piece.deadlineAt > time) continue;
        if ([...piece.calls].some(({isOverdue}) => !isOverdue)) continue;
        settle(piece, {tag: 'expired', piece: piece.position});
      }
      if (left.length === 0) options.onProgress(endpoint.service);
    }

    let penaltyTimer: NodeJS.Timeout | undefined;
    let stopTimeout = startTimeout({
      milliseconds: predicted * OVERDUE_FACTOR + OVERDUE_MARGIN_MILLISECONDS,
      onTimeout: handleOverdue,
    });
    const abort = sendStageCall({
      wire: options.wire,
      endpointClient: options.endpointClient,
      endpoint,
      pieces: batch.map(({order, position, deadlineAt}) => ({
        requestId: order.requestId,
        stage: order.stage,
        piece: position,
        timeLeftMilliseconds: Math.max(1, Math.floor(deadlineAt - startedAt)),
        key: order.key,
        inputs: order.inputs,
      })),
      mayStillSend: () => !limiter.isWithdrawn(endpoint),
      onHead: (head) => limiter.recordHead(endpoint, head),
      onFailure: handleFailure,
      onOutcomes(outcomes) {
        finish();
        if (capacity.slots === 1) loseEarlier();
        const elapsed = now() - startedAt;
        metrics.count('stageCalls', call.isOverdue ? 'late' : 'answered');
        metrics.time('stageCall', elapsed);
        // A rejected piece takes no time, and the time of an overdue call may
        // be a silence, so such a call says nothing about it.
        if (!call.isOverdue && outcomes.every(({tag}) => tag === 'made')) {
          recordTime(elapsed);
        }
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
        options.onProgress(endpoint.service);
      },
    });
  }

  return {
    send,
    isOverdue: (endpoint) =>
      [...overdueCalls].some((call) => isSameProcess(call.endpoint, endpoint)),
    getPieceTime: pieceTimes.get,
    enqueue,
    settle,
    refresh() {
      for (const call of [...overdueCalls]) {
        if (hasSuccessor(call.endpoint)) call.fail('the endpoint restarted');
      }
    },
  };
}
