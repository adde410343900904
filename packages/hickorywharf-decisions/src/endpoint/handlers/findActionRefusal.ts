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

/** Exclusive upper bound of the issue times that this home runs now. */
function getIssueTimeBound(
  state: EndpointState,
  {newest}: PartitionIntervals,
  partitionId: string,
  now: number,
): number {
  const release = state.releases.get(partitionId);
  const released =
    release?.epoch === newest.epoch ? release.until : newest.until;
  const ceiling = getIssueTimeCeiling(
    newest.anchor,
    now,
    state.maximumSkewMilliseconds,
  );
  return Math.min(newest.until, released, ceiling);
}

function hasHandedOver(state: EndpointState, now: number): boolean {
  const {leavingSince} = state;
  if (leavingSince === null) return false;
  return now - leavingSince > ENDPOINT_LIMITS.handOverMilliseconds;
}

/** For a predecessor's interval: what ran in it is not known here. */
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
 * null. It may run the key only if it is the home of the key's partition and
 * the key's issue time lies in its interval. Intervals are disjoint, so that no
 * clock has to be correct for a key to run at most once.
 *
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
  if (hasHandedOver(state, now)) return refuse('homeLeft');
  const moved = findMoveRefusal(state, frame, issueTime, part);
  return moved === null ? null : refuse(moved);
}
