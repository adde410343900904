import type {OrderedPiece} from './orderedPiece.ts';
import type {QueuedGroup} from './queuedGroup.ts';

interface StageQueues {
  /** The services that ever had a queue. */
  listServices(): string[];
  /** Whether no piece waits at any service. */
  isEmpty(): boolean;
  /** The groups with waiting pieces of a service. */
  get(service: string): ReadonlySet<QueuedGroup>;
  /** Number of pieces that wait at a service, without hedges. */
  countWaiting(service: string): number;
  /** Queues a piece that waits in no group. */
  add(group: QueuedGroup, piece: OrderedPiece): void;
  /** Removes a piece from the group in which it waits, if there is one. */
  remove(piece: OrderedPiece): void;
  /** Removes and returns the first pieces of a group, or all. */
  take(group: QueuedGroup, count?: number): OrderedPiece[];
}

/**
 * Keeps the pieces of stages that wait to be sent to an endpoint, by service
 * and order.
 *
 * @example
 *     const queues = createStageQueues();
 *     queues.add(piece.firsts, piece);
 *     queues.take(piece.firsts); // [piece]
 */
export function createStageQueues(): StageQueues {
  const queues = new Map<string, Set<QueuedGroup>>();

  /** Created on first use. */
  function getOrCreate(service: string): Set<QueuedGroup> {
    let queue = queues.get(service);
    if (queue === undefined) queues.set(service, (queue = new Set()));
    return queue;
  }

  function take(group: QueuedGroup, count = Infinity): OrderedPiece[] {
    const pieces = group.waiting.splice(0, count);
    for (const piece of pieces) piece.isQueued = false;
    if (group.waiting.length === 0) getOrCreate(group.service).delete(group);
    return pieces;
  }

  return {
    listServices: () => [...queues.keys()],
    isEmpty: () => [...queues.values()].every(({size}) => size === 0),
    get: getOrCreate,
    countWaiting(service) {
      let count = 0;
      for (const group of getOrCreate(service)) {
        if (!group.isHedge) count += group.count;
      }
      return count;
    },
    add(group, piece) {
      piece.isQueued = true;
      group.waiting.push(piece);
      getOrCreate(group.service).add(group);
    },
    remove(piece) {
      if (!piece.isQueued) return;
      piece.isQueued = false;
      for (const group of [piece.firsts, piece.hedges]) {
        const index = group.waiting.indexOf(piece);
        if (index >= 0) group.waiting.splice(index, 1);
        if (group.waiting.length === 0) {
          getOrCreate(group.service).delete(group);
        }
      }
    },
    take,
  };
}
