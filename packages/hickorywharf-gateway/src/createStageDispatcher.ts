import {assignEndpoints} from 'hickorywharf-decisions/gateway/assignEndpoints';
import type {createEndpointHealth} from 'hickorywharf-decisions/gateway/createEndpointHealth';
import type {createRepeatBudget} from 'hickorywharf-decisions/gateway/createRepeatBudget';
import type {PieceRow} from 'hickorywharf-decisions/gateway/pieceRow';
import {planBatch} from 'hickorywharf-decisions/gateway/planBatch';
import type {AnswerHead} from 'hickorywharf-types/gateway/answerHead';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewayService} from 'hickorywharf-types/gateway/gatewayService';
import type {GatewayWire} from 'hickorywharf-types/gateway/gatewayWire';
import type {PieceOutcome} from 'hickorywharf-types/gateway/pieceOutcome';
import type {StageCapacity} from 'hickorywharf-types/gateway/stageCapacity';
import type {EndpointChannels} from './endpointChannels.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayState} from './gatewayState.ts';
import type {StageDispatcher} from './stageDispatcher.ts';

interface DispatcherOptions {
  readonly name: string;
  readonly state: GatewayState;
  readonly wire: GatewayWire;
  readonly channels: EndpointChannels;
  readonly health: ReturnType<typeof createEndpointHealth>;
  readonly budget: ReturnType<typeof createRepeatBudget>;
  readonly log: GatewayLog;
  now(): number;
}

type Order = Parameters<StageDispatcher['order']>[0];
type Done = Parameters<StageDispatcher['order']>[1];

interface WaitingPiece extends PieceRow {
  readonly order: Order;
  readonly done: Done;
  sends: number;
  isCancelled: boolean;
}

interface HeldResult {
  readonly endpoint: GatewayEndpoint;
  readonly bytes: number;
  readonly expiresAt: number;
}

interface Worker {
  /** Calls under way, by when they should be done. */
  readonly doneAt: Set<{at: number}>;
  heldBytes: number;
}

/** A call that takes so many times what it should is taken for lost. */
const PATIENCE_FACTOR = 3;
const PATIENCE_MILLISECONDS = 400;
/** The most times that a piece is sent. */
const MAXIMUM_SENDS = 4;
/** Frees of one maker that come within this time share a call. */
const FREE_DELAY_MILLISECONDS = 15;
/** Weight of a call's time in what is known of its pieces' times. */
const LEARNING_WEIGHT = 0.1;
/** Pieces whose time is over are looked for this often while any wait. */
const SWEEP_MILLISECONDS = 20;

/**
 * Makes pieces of stages in batches, across the requests of this instance. Each
 * instance fills the endpoints that fall to it, one call at a time on each slot;
 * where none of them is well it falls back to the others.
 *
 * @example
 *     const dispatcher = createStageDispatcher(options);
 *     const cancel = dispatcher.order(piece, (result) => resume(result));
 */
export function createStageDispatcher(
  options: DispatcherOptions,
): StageDispatcher {
  const {name, state, wire, channels, health, budget, log, now} = options;
  const queues = new Map<string, Set<WaitingPiece>>();
  const services = new Map<string, GatewayService>();
  const workers = new Map<string, Worker>();
  const held = new Map<string, HeldResult>();
  const pieceTimes = new Map<string, number>();
  const leaving = new Map<
    string,
    {endpoint: GatewayEndpoint; handles: string[]}
  >();
  let sweep: NodeJS.Timeout | null = null;

  function getQueue(service: string): Set<WaitingPiece> {
    let queue = queues.get(service);
    if (queue === undefined) queues.set(service, (queue = new Set()));
    return queue;
  }

  function getWorker(id: string): Worker {
    let worker = workers.get(id);
    if (worker === undefined) {
      workers.set(id, (worker = {doneAt: new Set(), heldBytes: 0}));
    }
    return worker;
  }

  function getCapacity(service: GatewayService): StageCapacity {
    const {stage} = service;
    if (stage === null) throw new Error(`${service.name} has no stage`);
    return stage;
  }

  function getPieceTime(service: GatewayService, kind: string): number {
    return (
      pieceTimes.get(`${service.name}/${kind}`) ??
      getCapacity(service).pieceMilliseconds
    );
  }

  /** Own endpoints that are well; without any, all that are well. */
  function getEndpoints(service: string): readonly GatewayEndpoint[] {
    const usable = state.directory.getUsable(service);
    const own = new Set(
      assignEndpoints({
        service,
        endpoints: usable.map(({id}) => id),
        instances: state.instances,
        self: name,
      }),
    );
    const time = now();
    const isWell = ({id}: GatewayEndpoint) => health.getPenalty(id, time) === 0;
    const wellOwn = usable.filter(
      (endpoint) => own.has(endpoint.id) && isWell(endpoint),
    );
    if (wellOwn.length > 0) return wellOwn;
    const well = usable.filter(isWell);
    return well.length > 0 ? well : usable;
  }

  function forgetResult(handle: string): HeldResult | undefined {
    const result = held.get(handle);
    if (result === undefined) return undefined;
    held.delete(handle);
    getWorker(result.endpoint.id).heldBytes -= result.bytes;
    return result;
  }

  function dropExpired(): void {
    const time = now();
    for (const [handle, {expiresAt}] of held) {
      if (expiresAt > time) break;
      forgetResult(handle);
    }
    for (const queue of queues.values()) {
      for (const piece of queue) {
        if (time + piece.workMilliseconds < piece.deadlineAt) continue;
        queue.delete(piece);
        piece.done({tag: 'expired'});
      }
    }
  }

  function startSweep(): void {
    sweep ??= setTimeout(() => {
      sweep = null;
      dropExpired();
      for (const service of queues.keys()) pump(service);
      if ([...queues.values()].some(({size}) => size > 0)) startSweep();
    }, SWEEP_MILLISECONDS);
  }

  function pump(serviceName: string): void {
    const queue = getQueue(serviceName);
    const service = services.get(serviceName);
    if (queue.size === 0 || service === undefined) return;
    const capacity = getCapacity(service);
    for (const endpoint of getEndpoints(serviceName)) {
      const worker = getWorker(endpoint.id);
      if (worker.doneAt.size >= capacity.slots) continue;
      const batch = planBatch(queue, now(), {
        batch: capacity.batch,
        callMilliseconds: capacity.callMilliseconds,
        roomBytes: capacity.roomBytes - worker.heldBytes,
      });
      if (batch.length === 0) continue;
      for (const piece of batch) queue.delete(piece);
      sendBatch(service, endpoint, batch);
    }
  }

  function requeue(piece: WaitingPiece, reason: string): void {
    if (piece.isCancelled) return;
    const {service} = piece.order;
    if (
      piece.sends >= MAXIMUM_SENDS ||
      !budget.tryRepeat(service.name, now(), state.instances.length)
    ) {
      log.decide('piece given up', {
        requestId: piece.requestId,
        step: 'stage',
        stage: piece.stage,
        piece: piece.piece,
        sends: piece.sends,
        reason,
      });
      piece.done({tag: 'failed'});
      return;
    }
    getQueue(service.name).add(piece);
    startSweep();
  }

  const outcomeHandlers: {
    [Tag in PieceOutcome['tag']]: (
      piece: WaitingPiece,
      endpoint: GatewayEndpoint,
      outcome: Extract<PieceOutcome, {tag: Tag}>,
    ) => void;
  } = {
    made(piece, endpoint, {handle}) {
      const bytes = piece.resultBytes;
      const {keepMilliseconds} = getCapacity(piece.order.service);
      const expiresAt = now() + keepMilliseconds;
      held.set(handle, {endpoint, bytes, expiresAt});
      getWorker(endpoint.id).heldBytes += bytes;
      if (piece.isCancelled) free([handle]);
      else piece.done({tag: 'made', handle});
    },
    late: (piece) => {
      if (!piece.isCancelled) piece.done({tag: 'expired'});
    },
    inputGone: (piece) => {
      if (!piece.isCancelled) piece.done({tag: 'inputGone'});
    },
    noRoom: (piece) => requeue(piece, 'noRoom'),
    failed: (piece) => requeue(piece, 'failed'),
  };

  function learn(
    service: GatewayService,
    batch: WaitingPiece[],
    took: number,
  ): void {
    const {callMilliseconds} = getCapacity(service);
    const expected = batch.reduce(
      (sum, {order}) => sum + getPieceTime(service, order.kind),
      0,
    );
    const factor = Math.max(
      0.2,
      (took - callMilliseconds) / Math.max(expected, 1),
    );
    for (const {order} of batch) {
      const known = getPieceTime(service, order.kind);
      const share = LEARNING_WEIGHT / batch.length;
      pieceTimes.set(
        `${service.name}/${order.kind}`,
        known * (1 + share * (Math.min(factor, 3) - 1)),
      );
    }
  }

  function sendBatch(
    service: GatewayService,
    endpoint: GatewayEndpoint,
    batch: WaitingPiece[],
  ): void {
    const capacity = getCapacity(service);
    const worker = getWorker(endpoint.id);
    const startedAt = now();
    const work = batch.reduce((sum, piece) => sum + piece.workMilliseconds, 0);
    const usual = capacity.callMilliseconds + work;
    const slot = {at: startedAt + usual};
    worker.doneAt.add(slot);
    const reserved = batch.reduce((sum, piece) => sum + piece.resultBytes, 0);
    worker.heldBytes += reserved;
    for (const piece of batch) piece.sends += 1;

    let head: AnswerHead | null = null;
    const chunks: Buffer[] = [];
    let isOver = false;
    const finish = (): boolean => {
      if (isOver) return false;
      isOver = true;
      clearTimeout(timer);
      worker.doneAt.delete(slot);
      worker.heldBytes -= reserved;
      return true;
    };
    const fail = (reason: string): void => {
      if (!finish()) return;
      exchange.abort();
      health.noteFailure(endpoint.id, now());
      log.decide('stage call failed', {
        step: 'stage',
        peer: endpoint.id,
        service: service.name,
        pieces: batch.length,
        reason,
      });
      for (const piece of batch) requeue(piece, reason);
      pump(service.name);
    };
    const timer = setTimeout(
      () => fail('no answer in time'),
      usual * PATIENCE_FACTOR + PATIENCE_MILLISECONDS,
    );
    const body = wire.writePieces(
      batch.map(({order, deadlineAt}) => ({
        requestId: order.requestId,
        stage: order.stage,
        piece: order.piece,
        timeLeftMilliseconds: Math.max(1, Math.floor(deadlineAt - startedAt)),
        key: order.key,
        inputs: order.inputs,
      })),
    );
    const exchange = channels.send({
      ...describeStageCall(endpoint, wire.stageRun, body),
      onHead(answerHead) {
        head = answerHead;
      },
      onData: (chunk) => void chunks.push(chunk),
      onEnd() {
        if (head?.status !== 200) return fail(`status ${head?.status}`);
        const body = Buffer.concat(chunks).toString();
        const outcomes = wire.readPieces(body, batch.length);
        if (outcomes.isErr()) return fail(outcomes.error);
        if (!finish()) return;
        const took = now() - startedAt;
        health.noteAnswer(endpoint.id, took, now());
        learn(service, batch, took);
        outcomes.value.forEach((outcome, index) => {
          const handle = outcomeHandlers[outcome.tag];
          handle(batch[index]!, endpoint, outcome as never);
        });
        pump(service.name);
      },
      onFailure: ({message}) => fail(message),
    });
  }

  function describeStageCall(
    endpoint: GatewayEndpoint,
    {method, path}: GatewayWire['stageRun'],
    body: string,
  ) {
    const {id, host, port} = endpoint;
    const bytes = Buffer.byteLength(body);
    const headers = wire.writeStageHeaders(id, `${host}:${port}`, bytes);
    return {host, port, method, path, headers, body, needsNewConnection: false};
  }

  function free(handles: readonly string[]): void {
    for (const handle of handles) {
      const result = forgetResult(handle);
      if (result === undefined) continue;
      const {endpoint} = result;
      const waiting = leaving.get(endpoint.id);
      if (waiting !== undefined) {
        waiting.handles.push(handle);
        continue;
      }
      leaving.set(endpoint.id, {endpoint, handles: [handle]});
      setTimeout(() => sendFrees(endpoint.id), FREE_DELAY_MILLISECONDS);
    }
  }

  function sendFrees(id: string): void {
    const entry = leaving.get(id);
    leaving.delete(id);
    if (entry === undefined) return;
    const {endpoint, handles} = entry;
    channels.send({
      ...describeStageCall(endpoint, wire.stageFree, wire.writeFree(handles)),
      onHead: () => undefined,
      onData: () => undefined,
      onEnd: () => pump(endpoint.service),
      // Its results end by themselves after their time.
      onFailure: ({message}) =>
        log.decide('results not freed', {
          step: 'stage',
          peer: endpoint.id,
          handles: handles.length,
          reason: message,
        }),
    });
  }

  return {
    order(order, done) {
      services.set(order.service.name, order.service);
      const piece: WaitingPiece = {
        ...order,
        workMilliseconds: getPieceTime(order.service, order.kind),
        order,
        done,
        sends: 0,
        isCancelled: false,
      };
      getQueue(order.service.name).add(piece);
      queueMicrotask(() => pump(order.service.name));
      startSweep();
      return () => {
        piece.isCancelled = true;
        getQueue(order.service.name).delete(piece);
      };
    },
    free,
    getWait(service) {
      const capacity = getCapacity(service);
      const endpoints = getEndpoints(service.name);
      if (endpoints.length === 0) return Infinity;
      const time = now();
      let work = 0;
      for (const piece of getQueue(service.name))
        work += piece.workMilliseconds;
      const calls = Math.ceil(getQueue(service.name).size / capacity.batch);
      const busy = endpoints.reduce((sum, {id}) => {
        const ends = [...getWorker(id).doneAt].map(({at}) => at - time);
        return sum + Math.max(0, ...ends);
      }, 0);
      return (
        (calls * capacity.callMilliseconds + work + busy) / endpoints.length
      );
    },
    getPieceTime,
    refresh() {
      for (const service of queues.keys()) pump(service);
    },
  };
}
