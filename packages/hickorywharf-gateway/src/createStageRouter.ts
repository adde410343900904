import type {Connection} from 'hickorywharf-transport/connection';
import type {Frame} from 'hickorywharf-types/frame';
import type {StageOrder} from 'hickorywharf-types/gateway/stageOrder';
import type {StageResult} from 'hickorywharf-types/gateway/stageResult';
import type {StageWaits} from 'hickorywharf-types/gateway/stageWaits';
import {createDispatcherRankings} from './createDispatcherRankings.ts';
import type {createPeerConnections} from './createPeerConnections.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayState} from './gatewayState.ts';
import {listStageServices} from './listStageServices.ts';
import type {StageDispatcher} from './stageDispatcher.ts';
import type {StageRouter} from './stageRouter.ts';

interface RouterOptions {
  /** Name of this instance. */
  readonly name: string;
  readonly state: GatewayState;
  readonly dispatcher: StageDispatcher;
  readonly log: GatewayLog;
  getPeers(): ReturnType<typeof createPeerConnections>;
  /** Monotonic milliseconds. */
  now(): number;
}

interface Router extends StageRouter {
  /** Handles a frame of a peer that orders from this instance. */
  handleRequest(connection: Connection, frame: Frame): void;
  /** Whether orders of peers have unfinished pieces. */
  hasPeerOrders(): boolean;
  /** Cancels the orders of a peer that disconnected. */
  cancelRequests(connection: Connection): void;
  /** Wait estimates of the services that this instance dispatches for. */
  listWaitEstimates(): StageWaits[];
  /** Handles a frame of a peer that dispatches orders of this instance. */
  handleReply(name: string, frame: Frame): void;
  /** Reassigns the unfinished pieces that a disconnected peer dispatched. */
  reassignOrders(name: string): void;
}

/** Times are monotonic milliseconds. */
interface ReceivedWaits {
  readonly waits: StageWaits;
  readonly receivedAt: number;
}

/** An order of this instance that has unfinished pieces. */
interface PendingOrder {
  readonly order: StageOrder;
  /** Monotonic milliseconds. */
  readonly orderedAt: number;
  /** Positions of the pieces that have no result yet. */
  readonly missing: Set<number>;
  onResult(result: StageResult): void;
  /** The peer that dispatches the order; null for this instance. */
  dispatcher: string | null;
  /** Cancels the order here; null unless this instance has dispatched it. */
  cancelLocal: (() => void) | null;
}

interface KnownResult {
  /** The peer whose dispatcher tracks the result; null for this instance. */
  readonly dispatcher: string | null;
  readonly endpointId: string;
}

/**
 * Wait estimates of a peer that were received longer ago than this are ignored,
 * and the wait counts as unknown.
 */
const WAITS_VALID_MILLISECONDS = 1000;
/**
 * Bounds the memory for results that are never freed. Beyond it the oldest
 * result is evicted; its endpoint drops it when its time to live ends.
 */
const MAXIMUM_KNOWN_RESULTS = 20_000;

/**
 * Sends the pieces of each service to the one instance that dispatches for it,
 * so that batches combine pieces of all requests. If that instance disconnects,
 * its successor gets the unfinished pieces; a piece may then run twice.
 *
 * @example
 *     const router = createStageRouter(options);
 *     const cancel = router.order(order, (result) => results.push(result));
 *     cancel();
 */
export function createStageRouter(options: RouterOptions): Router {
  const {name, state, dispatcher, log, getPeers, now} = options;
  const pendingOrders = new Map<number, PendingOrder>();
  const knownResults = new Map<string, KnownResult>();
  const peerOrders = new Map<Connection, Map<number, () => void>>();
  /** The last wait estimate that a peer sent, by service. */
  const receivedWaits = new Map<string, ReceivedWaits>();
  let lastOrderId = 0;
  const rankings = createDispatcherRankings(state);

  /**
   * The peer that dispatches for a service; null if this instance does. While
   * this instance stops, it dispatches only if no other peer is connected.
   */
  function findDispatcher(service: string): string | null {
    for (const instance of rankings.get(service)) {
      const isLocal = instance === name;
      if (isLocal && !state.isStopping) return null;
      if (!isLocal && getPeers().isConnected(instance)) return instance;
    }
    return null;
  }

  function handleResult(
    id: number,
    job: PendingOrder,
    result: StageResult,
  ): void {
    if (!job.missing.delete(result.piece)) return;
    if (job.missing.size === 0) pendingOrders.delete(id);
    if (result.tag === 'made') {
      const {handle, endpointId} = result;
      knownResults.set(handle, {dispatcher: job.dispatcher, endpointId});
      if (knownResults.size > MAXIMUM_KNOWN_RESULTS) {
        knownResults.delete(knownResults.keys().next().value!);
      }
    }
    job.onResult(result);
  }

  /** The unfinished part of an order, with its remaining time. */
  function getRemainder(job: PendingOrder): StageOrder {
    const elapsed = now() - job.orderedAt;
    const {order, missing} = job;
    return {
      ...order,
      pieces: [...missing],
      targetMilliseconds: order.targetMilliseconds - elapsed,
      deadlineMilliseconds: order.deadlineMilliseconds - elapsed,
    };
  }

  /**
   * Sends the unfinished pieces of an order to the peer that dispatches for
   * their service, or dispatches them here if there is none or sending fails.
   */
  function assign(id: number, job: PendingOrder): void {
    const remainder = getRemainder(job);
    job.dispatcher = findDispatcher(remainder.service);
    if (job.dispatcher !== null) {
      const frame: Frame = {tag: 'stageOrder', orderId: id, order: remainder};
      if (getPeers().send(job.dispatcher, frame)) return;
      job.dispatcher = null;
    }
    job.cancelLocal = dispatcher.order(remainder, (result) =>
      handleResult(id, job, result),
    );
  }

  function free(handles: readonly string[]): void {
    const local: string[] = [];
    const remote = new Map<string, string[]>();
    for (const handle of handles) {
      const result = knownResults.get(handle);
      if (result === undefined) continue;
      knownResults.delete(handle);
      if (result.dispatcher === null) local.push(handle);
      else if (getPeers().isConnected(result.dispatcher)) {
        const list = remote.get(result.dispatcher) ?? [];
        list.push(handle);
        remote.set(result.dispatcher, list);
      } else dispatcher.freeAt(result.endpointId, [handle]);
    }
    dispatcher.free(local);
    for (const [instance, list] of remote) {
      getPeers().send(instance, {tag: 'stageFree', handles: list});
    }
  }

  function handleOrder(connection: Connection, id: number, order: StageOrder) {
    const orders = peerOrders.get(connection) ?? new Map<number, () => void>();
    peerOrders.set(connection, orders);
    let pending: StageResult[] = [];
    let remaining = order.pieces.length;
    const cancel = dispatcher.order(order, (result) => {
      remaining -= 1;
      if (remaining === 0) orders.delete(id);
      pending.push(result);
      if (pending.length > 1) return;
      // Results of one call to an endpoint share a frame.
      queueMicrotask(() => {
        const results = pending;
        pending = [];
        const isSent = connection.send({
          tag: 'stageResults',
          orderId: id,
          results,
        });
        if (isSent) return;
        // A peer that has disconnected cannot free its results.
        dispatcher.free(
          results.flatMap((entry) =>
            entry.tag === 'made' ? [entry.handle] : [],
          ),
        );
      });
    });
    orders.set(id, cancel);
  }

  return {
    order(order, onResult) {
      lastOrderId += 1;
      const id = lastOrderId;
      const job: PendingOrder = {
        order,
        orderedAt: now(),
        missing: new Set(order.pieces),
        onResult,
        dispatcher: null,
        cancelLocal: null,
      };
      pendingOrders.set(id, job);
      assign(id, job);
      return () => {
        if (!pendingOrders.delete(id)) return;
        if (job.dispatcher === null) job.cancelLocal?.();
        else getPeers().send(job.dispatcher, {tag: 'stageCancel', orderId: id});
      };
    },
    getWaitEstimate(service) {
      const instance = findDispatcher(service);
      if (instance === null) return dispatcher.getWaitEstimate(service);
      const entry = receivedWaits.get(service);
      const isFresh =
        entry !== undefined &&
        now() - entry.receivedAt < WAITS_VALID_MILLISECONDS;
      return isFresh ? entry.waits : null;
    },
    listWaitEstimates: () =>
      listStageServices(state)
        .flatMap((service) =>
          findDispatcher(service) === null
            ? [dispatcher.getWaitEstimate(service) ?? []]
            : [],
        )
        .flat(),
    free,
    getFailureDomain(handle) {
      const result = knownResults.get(handle);
      return result && state.directory.get(result.endpointId)?.failureDomain;
    },
    handleRequest(connection, frame) {
      if (frame.tag === 'stageOrder') {
        handleOrder(connection, frame.orderId, frame.order);
      } else if (frame.tag === 'stageCancel') {
        const orders = peerOrders.get(connection);
        orders?.get(frame.orderId)?.();
        orders?.delete(frame.orderId);
      } else if (frame.tag === 'stageFree') {
        dispatcher.free(frame.handles);
      }
    },
    hasPeerOrders: () =>
      [...peerOrders.values()].some((orders) => orders.size > 0),
    cancelRequests(connection) {
      for (const cancel of peerOrders.get(connection)?.values() ?? []) cancel();
      peerOrders.delete(connection);
    },
    handleReply(instance, frame) {
      if (frame.tag === 'stageWaits') {
        for (const waits of frame.services) {
          receivedWaits.set(waits.service, {waits, receivedAt: now()});
        }
      }
      if (frame.tag !== 'stageResults') return;
      const job = pendingOrders.get(frame.orderId);
      // The order was cancelled, finished or reassigned, so nobody else frees
      // these results.
      if (job === undefined || job.dispatcher !== instance) {
        const handles = frame.results.flatMap((result) =>
          result.tag === 'made' ? [result.handle] : [],
        );
        getPeers().send(instance, {tag: 'stageFree', handles});
        return;
      }
      for (const result of frame.results) {
        handleResult(frame.orderId, job, result);
      }
    },
    reassignOrders(instance) {
      const affected = [...pendingOrders].filter(
        ([, job]) => job.dispatcher === instance,
      );
      if (affected.length === 0) return;
      log.infoAlways('stage orders reassigned', {
        step: 'stage',
        peer: instance,
        orders: affected.length,
      });
      for (const [id, job] of affected) assign(id, job);
    },
  };
}
