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
type HomePlace =
  EndpointState['homes']['partitions'] extends ReadonlyMap<string, infer Place>
    ? Place
    : never;

/** The issue time from which on this home runs no key of the part, for now. */
function getEnd(
  state: EndpointState,
  {newest}: HomePlace,
  homeKey: string,
  now: number,
): number {
  const release = state.releases.get(homeKey);
  const released =
    release?.epoch === newest.epoch ? release.until : newest.until;
  const ceiling = getIssueTimeCeiling(
    newest.anchor,
    now,
    state.maximumSkewMilliseconds,
  );
  return Math.min(newest.until, released, ceiling);
}

function hasLeft(state: EndpointState, now: number): boolean {
  const {leavingSince} = state;
  if (leavingSince === null) return false;
  return now - leavingSince > ENDPOINT_LIMITS.handOverMilliseconds;
}

/** A predecessor of this process had the interval; what it ran is lost. */
function findPredecessorReason(
  newest: HomePlace['newest'],
  interval: HomeInterval,
  issueTime: number,
): RefusedFrame['reason'] {
  if (issueTime >= newest.until) return 'keyOutsideInterval';
  const isSettled = interval.epoch !== newest.epoch || newest.released;
  return isSettled ? 'keyForgotten' : 'homeUnsettled';
}

/**
 * Whether this process may not run a key that it does not remember. It may
 * only where it is home to the key's part and the issue time inside the key
 * lies in its interval: intervals are disjoint, so no clock has to be right.
 *
 * @example
 *     findActionRefusal(state, frame, issueTime, now); // null: it may run
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
  const homeKey = getPartitionId({pool, half, part});
  const place = state.homes.partitions.get(homeKey);
  if (place === undefined) return createRefusal(frame, 'keyOutsideInterval');
  const {newest, all} = place;
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
  if (isNewest && issueTime >= getEnd(state, place, homeKey, now)) {
    return refuse('keyOutsideInterval');
  }
  if (hasLeft(state, now)) return refuse('homeLeft');
  const moved = findMoveRefusal(state, frame, issueTime, part);
  return moved === null ? null : refuse(moved);
}
