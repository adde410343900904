import {rankDispatchers} from 'hickorywharf-decisions/gateway/rankDispatchers';
import type {Connection} from 'hickorywharf-transport/connection';
import type {Frame} from 'hickorywharf-types/frame';
import type {StageOrder} from 'hickorywharf-types/gateway/stageOrder';
import type {StageResult} from 'hickorywharf-types/gateway/stageResult';
import type {StageWaits} from 'hickorywharf-types/gateway/stageWaits';
import type {createPeerConnections} from './createPeerConnections.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayState} from './gatewayState.ts';
import type {StageDispatcher} from './stageDispatcher.ts';
import type {StageRouter} from './stageRouter.ts';

interface RouterOptions {
  readonly name: string;
  readonly state: GatewayState;
  readonly dispatcher: StageDispatcher;
  readonly log: GatewayLog;
  getPeers(): ReturnType<typeof createPeerConnections>;
  now(): number;
}

interface Router extends StageRouter {
  /** Takes a frame of an instance that orders here. */
  handleRequest(connection: Connection, frame: Frame): void;
  cancelRequests(connection: Connection): void;
  /** Waits at the services that this instance is in charge of. */
  listWaitEstimates(): StageWaits[];
  /** Takes a frame of an instance that makes pieces for this one. */
  handleReply(name: string, frame: Frame): void;
  /** Orders again what a lost instance should have made. */
  reassignOrders(name: string): void;
}

interface HeardWaits {
  readonly waits: StageWaits;
  readonly heardAt: number;
}

interface OpenOrder {
  readonly order: StageOrder;
  readonly orderedAt: number;
  readonly missing: Set<number>;
  onResult(result: StageResult): void;
  /** The instance in charge; null while this one makes the pieces. */
  maker: string | null;
  cancelLocal: (() => void) | null;
}

interface KnownResult {
  /** The instance that keeps the endpoint's account; null for this one. */
  readonly maker: string | null;
  readonly endpointId: string;
}

/** Waits that a maker told longer ago are not believed. */
const WAITS_MILLISECONDS = 1000;
/** Results that are never freed are forgotten with their makers' time. */
const MAXIMUM_KNOWN_RESULTS = 20_000;

/**
 * Sends the pieces of each service to the one instance that makes its batches,
 * so that pieces of all requests meet there. Where that instance is lost, its
 * successor gets what is still missing; a piece may be made twice.
 *
 * @example
 *     const router = createStageRouter(options);
 *     const cancel = router.order(order, (result) => take(result));
 */
export function createStageRouter(options: RouterOptions): Router {
  const {
    name,
    state,
    dispatcher: dispatcher,
    log,
    getPeers: getPeers,
    now,
  } = options;
  const open = new Map<number, OpenOrder>();
  const known = new Map<string, KnownResult>();
  const requests = new Map<Connection, Map<number, () => void>>();
  /** What makers told, by service. */
  const heard = new Map<string, HeardWaits>();
  let lastOrderId = 0;

  function getStageServices(): string[] {
    return [...(state.configuration?.services.values() ?? [])]
      .filter(({stage}) => stage !== null)
      .map((entry) => entry.name);
  }

  function findMaker(service: string): string | null {
    const services = getStageServices();
    for (const instance of rankDispatchers(
      service,
      services,
      state.instances,
    )) {
      const isOwn = instance === name;
      if (isOwn && !state.isStopping) return null;
      if (!isOwn && getPeers().isUp(instance)) return instance;
    }
    return null;
  }

  function takeResult(id: number, entry: OpenOrder, result: StageResult): void {
    if (!entry.missing.delete(result.piece)) return;
    if (entry.missing.size === 0) open.delete(id);
    if (result.tag === 'made') {
      const {handle, endpointId} = result;
      known.set(handle, {maker: entry.maker, endpointId});
      if (known.size > MAXIMUM_KNOWN_RESULTS) {
        known.delete(known.keys().next().value!);
      }
    }
    entry.onResult(result);
  }

  /** The order as far as it is open, with the time that is left. */
  function getRest(entry: OpenOrder): StageOrder {
    const elapsed = now() - entry.orderedAt;
    const {order, missing} = entry;
    return {
      ...order,
      pieces: [...missing],
      targetMilliseconds: order.targetMilliseconds - elapsed,
      deadlineMilliseconds: order.deadlineMilliseconds - elapsed,
    };
  }

  function place(id: number, entry: OpenOrder): void {
    const rest = getRest(entry);
    entry.maker = findMaker(rest.service);
    if (entry.maker !== null) {
      const frame: Frame = {tag: 'stageOrder', orderId: id, order: rest};
      if (getPeers().send(entry.maker, frame)) return;
      entry.maker = null;
    }
    entry.cancelLocal = dispatcher.order(rest, (result) =>
      takeResult(id, entry, result),
    );
  }

  function free(handles: readonly string[]): void {
    const local: string[] = [];
    const remote = new Map<string, string[]>();
    for (const handle of handles) {
      const result = known.get(handle);
      if (result === undefined) continue;
      known.delete(handle);
      if (result.maker === null) local.push(handle);
      else if (getPeers().isUp(result.maker)) {
        const list = remote.get(result.maker) ?? [];
        list.push(handle);
        remote.set(result.maker, list);
      } else dispatcher.freeAt(result.endpointId, [handle]);
    }
    dispatcher.free(local);
    for (const [instance, list] of remote) {
      getPeers().send(instance, {tag: 'stageFree', handles: list});
    }
  }

  function takeOrder(connection: Connection, id: number, order: StageOrder) {
    const orders = requests.get(connection) ?? new Map<number, () => void>();
    requests.set(connection, orders);
    let pending: StageResult[] = [];
    let left = order.pieces.length;
    const cancel = dispatcher.order(order, (result) => {
      left -= 1;
      if (left === 0) orders.delete(id);
      pending.push(result);
      if (pending.length > 1) return;
      // Results of one call go back in one frame.
      queueMicrotask(() => {
        const results = pending;
        pending = [];
        const isSent = connection.send({
          tag: 'stageResults',
          orderId: id,
          results,
        });
        if (isSent) return;
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
      const entry: OpenOrder = {
        order,
        orderedAt: now(),
        missing: new Set(order.pieces),
        onResult,
        maker: null,
        cancelLocal: null,
      };
      open.set(id, entry);
      place(id, entry);
      return () => {
        if (!open.delete(id)) return;
        if (entry.maker === null) entry.cancelLocal?.();
        else getPeers().send(entry.maker, {tag: 'stageCancel', orderId: id});
      };
    },
    getWaitEstimate(service) {
      const instance = findMaker(service);
      if (instance === null) return dispatcher.getWaitEstimate(service);
      const entry = heard.get(service);
      const isFresh =
        entry !== undefined && now() - entry.heardAt < WAITS_MILLISECONDS;
      return isFresh ? entry.waits : null;
    },
    listWaitEstimates: () =>
      getStageServices()
        .flatMap((service) =>
          findMaker(service) === null
            ? [dispatcher.getWaitEstimate(service) ?? []]
            : [],
        )
        .flat(),
    free,
    getFailureDomain(handle) {
      const result = known.get(handle);
      return result && state.directory.get(result.endpointId)?.failureDomain;
    },
    handleRequest(connection, frame) {
      if (frame.tag === 'stageOrder') {
        takeOrder(connection, frame.orderId, frame.order);
      } else if (frame.tag === 'stageCancel') {
        const orders = requests.get(connection);
        orders?.get(frame.orderId)?.();
        orders?.delete(frame.orderId);
      } else if (frame.tag === 'stageFree') {
        dispatcher.free(frame.handles);
      }
    },
    cancelRequests(connection) {
      for (const cancel of requests.get(connection)?.values() ?? []) cancel();
      requests.delete(connection);
    },
    handleReply(instance, frame) {
      if (frame.tag === 'stageWaits') {
        for (const waits of frame.services) {
          heard.set(waits.service, {waits, heardAt: now()});
        }
      }
      if (frame.tag !== 'stageResults') return;
      const entry = open.get(frame.orderId);
      if (entry === undefined || entry.maker !== instance) {
        const handles = frame.results.flatMap((result) =>
          result.tag === 'made' ? [result.handle] : [],
        );
        getPeers().send(instance, {tag: 'stageFree', handles});
        return;
      }
      for (const result of frame.results) {
        takeResult(frame.orderId, entry, result);
      }
    },
    reassignOrders(instance) {
      const lost = [...open].filter(([, entry]) => entry.maker === instance);
      if (lost.length === 0) return;
      log.infoAlways('stage orders moved', {
        step: 'stage',
        peer: instance,
        orders: lost.length,
      });
      for (const [id, entry] of lost) place(id, entry);
    },
  };
}
