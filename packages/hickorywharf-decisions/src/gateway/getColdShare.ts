/**
 * Of the calls that an endpoint may get in a second, the part that instances
 * whose lists agree may send. Two groups of instances that know nothing of each
 * other stay within the whole.
 */
const AGREED_SHARE = 1 / 2;
/**
 * Part of the instance that dispatches for a stage. Its successor has the rest,
 * as it replaces the dispatcher before the instance list says so.
 */
const DISPATCHER_PART = 2 / 3;

interface ColdDemand {
  /** What a cold endpoint can bear. */
  readonly callsPerSecond: number;
  /** The rate that it may get, without the calls that come on top. */
  readonly ratedCalls: number;
  /** The most calls of all instances in any second. */
  readonly maximumCalls: number;
  /** Position of the instance in the endpoint's order of instances, or -1. */
  readonly rank: number;
  /** Number of instances in that order. */
  readonly instances: number;
  /**
   * Whether one instance at a time sends nearly all calls, the first in the
   * order that is available.
   */
  readonly isDispatched: boolean;
}

/** The calls of all instances whose lists agree, in one window. */
function getAgreedCalls(callsPerSecond: number, maximumCalls: number): number {
  if (maximumCalls < 1) return 0;
  const part = Math.floor(maximumCalls * AGREED_SHARE);
  return Math.max(1, Math.min(Math.floor(callsPerSecond), part));
}

function getDispatcherCalls(rank: number, agreed: number): number {
  const first = Math.ceil(agreed * DISPATCHER_PART);
  return [first, agreed - first][rank] ?? 0;
}

/**
 * Divides the calls that a cold endpoint can bear among the instances, without
 * communication: instances with the same list compute the same shares. A share
 * is a number of calls in any window of `getColdWindow`, so that no burst is
 * added to it.
 *
 * Few instances share the rate. If there are more of them, and no more than the
 * calls of the bound, one call each keeps the bound whatever their lists say:
 * all have one, up to the rate that the endpoint may get, as each instance wants
 * to send a part of the sessions' calls only. Of many instances the first have
 * one call each, up to half of the bound.
 *
 * Designed for a failure domain that comes back cold while all affinity points
 * there, with some dozen calls a second for each endpoint, and 3 to 300
 * instances of which some are out of touch.
 *
 * @example
 *     getColdShare({callsPerSecond: 16, ratedCalls: 24, maximumCalls: 29, rank: 3, instances: 5, isDispatched: false}); // 3
 */
export function getColdShare(demand: ColdDemand): number {
  const {callsPerSecond, ratedCalls, maximumCalls, rank, instances} = demand;
  if (rank < 0 || rank >= instances) return 0;
  const agreed = getAgreedCalls(callsPerSecond, maximumCalls);
  if (demand.isDispatched && instances > 1) {
    return getDispatcherCalls(rank, agreed);
  }
  if (instances > agreed) {
    const rated = instances <= maximumCalls ? Math.floor(ratedCalls) : 0;
    return rank < Math.max(agreed, rated) ? 1 : 0;
  }
  const extra = rank < agreed % instances ? 1 : 0;
  return Math.floor(agreed / instances) + extra;
}
