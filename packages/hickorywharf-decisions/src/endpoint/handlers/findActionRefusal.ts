import type {Frame} from 'hickorywharf-types/frame';
import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import {findInterval} from '../../homes/findInterval.ts';
import {getPartitionId} from '../../homes/getPartitionId.ts';
import {getPartition} from '../../homes/getPartition.ts';
import {getIssueTimeCeiling} from '../../homes/getIssueTimeCeiling.ts';
import {createRefusal} from '../createRefusal.ts';
import {ENDPOINT_LIMITS} from '../endpointLimits.ts';
import type {EndpointState} from '../endpointState.ts';
import {findMoveRefusal} from './findMoveRefusal.ts';

type AttemptFrame = Extract<Frame, {tag: 'attempt'}>;
type RefusedFrame = Extract<Frame, {tag: 'refused'}>;
type PartitionIntervals =
  EndpointState['homes']['partitions'] extends ReadonlyMap<
    string,
    infer Intervals
  >
    ? Intervals
    : never;

/**
 * Exclusive upper bound of the issue times that this home accepts now, in
 * milliseconds since the Unix epoch.
 */
function getIssueTimeBound(
  state: EndpointState,
  {newest}: PartitionIntervals,
  partitionId: string,
  now: number,
): number {
  const release = state.releases.get(partitionId);
  const releaseEnd =
    release?.epoch === newest.epoch ? release.until : newest.until;
  const ceiling = getIssueTimeCeiling(
    newest.anchor,
    now,
    state.maximumSkewMilliseconds,
  );
  return Math.min(newest.until, releaseEnd, ceiling);
}

/** Whether leaving or draining has lasted longer than the hand-over time. */
function hasHandOverEnded(state: EndpointState, now: number): boolean {
  const {leavingSince} = state;
  if (leavingSince === null) return false;
  return now - leavingSince > ENDPOINT_LIMITS.handOverMilliseconds;
}

/**
 * Finds the reason to refuse a key issued in or after an interval that an
 * earlier process of this endpoint took: this process does not know which keys
 * ran in it.
 */
function findPredecessorReason(
  newest: PartitionIntervals['newest'],
  interval: HomeInterval,
  issueTime: number,
): RefusedFrame['reason'] {
  if (issueTime >= newest.until) return 'keyOutsideInterval';
  const hasEnded = interval.epoch !== newest.epoch || newest.released;
  return hasEnded ? 'keyForgotten' : 'homeUnsettled';
}

/**
 * Finds the reason why this process must not run a key that has no row here, or
 * null. It may run the key only if the issue time lies in an interval in which
 * it is the home of the key's partition. Intervals are disjoint, so that no
 * clock has to be correct for a key to run at most once. The process also
 * refuses keys below the watermark, whose rows may have been evicted, all new
 * keys after the hand-over time, and keys that `findMoveRefusal` excludes.
 *
 * @param issueTime milliseconds since the Unix epoch
 * @param now monotonic milliseconds
 * @example
 *     findActionRefusal(state, frame, issueTime, now); // null if it may run
 */
export function findActionRefusal(
  state: EndpointState,
  frame: AttemptFrame,
  issueTime: number,
  now: number,
): RefusedFrame | null {
  const {pool, half} = frame;
  // Only called with an issue time, which comes from the key.
  const part = getPartition(
    frame.idempotencyKey ?? '',
    state.homePartitionCount,
  );
  const partitionId = getPartitionId({pool, half, part});
  const history = state.homes.partitions.get(partitionId);
  if (history === undefined) return createRefusal(frame, 'keyOutsideInterval');
  const {newest, all} = history;
  const refuse = (reason: RefusedFrame['reason']) =>
    createRefusal(frame, reason, all);
  if (issueTime < all[0]!.from) return refuse('keyForgotten');
  const interval = findInterval(all, issueTime) ?? newest;
  if (interval.home !== state.name) return refuse('wrongHome');
  if (interval.incarnation !== state.incarnation) {
    return refuse(findPredecessorReason(newest, interval, issueTime));
  }
  if (issueTime < state.watermark) return refuse('keyForgotten');
  const isNewest = interval.epoch === newest.epoch;
  if (
    isNewest &&
    issueTime >= getIssueTimeBound(state, history, partitionId, now)
  ) {
    return refuse('keyOutsideInterval');
  }
  if (hasHandOverEnded(state, now)) return refuse('homeLeft');
  const moveReason = findMoveRefusal(state, frame, issueTime, part);
  return moveReason === null ? null : refuse(moveReason);
}
