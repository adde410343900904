import type {StageWaits} from 'hickorywharf-types/gateway/stageWaits';
import type {PieceGroup} from './pieceGroup.ts';
import {rankGroups} from './rankGroups.ts';

interface ServiceCapacity {
  readonly endpoints: number;
  readonly batch: number;
  readonly callMilliseconds: number;
  /** Until the first endpoint is free. */
  readonly untilFreeMilliseconds: number;
}

interface Estimate<Group> {
  readonly waits: Omit<StageWaits, 'service'>;
  /** Groups whose time is over before their turn, by what is ahead of them. */
  readonly infeasible: Group[];
}

/** A wait that no caller has; a finite number, for frames. */
const NO_ENDPOINT_MILLISECONDS = 60_000;
/** Priorities that are told apart. */
const PRIORITIES = 4;

/**
 * How long a group that comes now would wait at a service, and which waiting
 * groups can't be made in time any more.
 *
 * Load pattern: bursts of several seconds above what a service can do. What
 * can't be served is told so at once, at the door or while it waits, so that
 * its caller can come back while there is time.
 *
 * @example
 *     const {waits} = estimateWaits(waiting, now, capacity);
 */
export function estimateWaits<Group extends PieceGroup>(
  waiting: Iterable<Group>,
  now: number,
  capacity: ServiceCapacity,
): Estimate<Group> {
  const {
    endpoints,
    batch,
    callMilliseconds,
    untilFreeMilliseconds: untilFreeMilliseconds,
  } = capacity;
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
  const hopeless: Group[] = [];
  let total = untilFreeMilliseconds;
  for (const {group, rank} of rankGroups(waiting, now, capacity)) {
    const work =
      (group.count * (callMilliseconds / batch + group.workMilliseconds)) /
      endpoints;
    if (rank === 'late' && now + total + callMilliseconds > group.deadlineAt) {
      hopeless.push(group);
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
    infeasible: hopeless,
  };
}
