import type {StageWaits} from 'hickorywharf-types/gateway/stageWaits';
import type {PieceGroup} from './pieceGroup.ts';
import {rankGroups} from './rankGroups.ts';

interface ServiceCapacity {
  readonly endpoints: number;
  /** The most pieces in one call. */
  readonly batch: number;
  /** Time of a call without its pieces. */
  readonly callMilliseconds: number;
  /** Time until the first endpoint is free. */
  readonly untilFreeMilliseconds: number;
}

interface Estimate<Group> {
  readonly waits: Omit<StageWaits, 'service'>;
  /** Groups that would pass their deadline behind the work ahead of them. */
  readonly infeasible: Group[];
}

/** Exceeds the timeout of every caller; finite, so that frames can carry it. */
const NO_ENDPOINT_MILLISECONDS = 60_000;
/** Priorities with a wait of their own; less urgent ones share the last. */
const PRIORITIES = 4;

/**
 * Estimates how long a group that arrives now would wait at a service, and
 * finds the waiting groups that can no longer be computed in time.
 *
 * Load pattern: bursts of several seconds above the capacity of a service. Work
 * that cannot be served is refused at once, at admission or while it waits, so
 * that its caller can retry while there is time.
 *
 * @example
 *     const {waits} = estimateWaits(waiting, now, capacity);
 */
export function estimateWaits<Group extends PieceGroup>(
  waiting: Iterable<Group>,
  now: number,
  capacity: ServiceCapacity,
): Estimate<Group> {
  const {endpoints, batch, callMilliseconds, untilFreeMilliseconds} = capacity;
  const timely = new Array<number>(PRIORITIES).fill(untilFreeMilliseconds);
  if (endpoints === 0) {
    return {
      waits: {
        timelyMilliseconds: timely.fill(NO_ENDPOINT_MILLISECONDS),
        totalMilliseconds: NO_ENDPOINT_MILLISECONDS,
      },
      infeasible: [],
    };
  }
  const infeasible: Group[] = [];
  let total = untilFreeMilliseconds;
  for (const {group, rank} of rankGroups(waiting, now, capacity)) {
    const work =
      (group.count * (callMilliseconds / batch + group.workMilliseconds)) /
      endpoints;
    if (rank === 'late' && now + total + callMilliseconds > group.deadlineAt) {
      infeasible.push(group);
      continue;
    }
    total += work;
    if (rank === 'late') continue;
    const first =
      rank === 'begun' ? 0 : Math.min(group.priority, PRIORITIES - 1);
    for (let priority = first; priority < PRIORITIES; priority += 1) {
      timely[priority]! += work;
    }
  }
  return {
    waits: {timelyMilliseconds: timely, totalMilliseconds: total},
    infeasible,
  };
}
