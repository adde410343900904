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
 * added to it, and instances beyond the number of calls have none.
 *
 * Designed for a failure domain that comes back cold while all affinity points
 * there, with some dozen calls a second for each endpoint, and 3 to 300
 * instances of which some are out of touch.
 *
 * @param callsPerSecond what a cold endpoint can bear
 * @param maximumCalls the most calls of all instances in any second
 * @param rank position of the instance in the endpoint's order of instances; -1
 *     if it is not among them
 * @param instances number of instances in that order
 * @param isDispatched whether one instance at a time sends nearly all calls, the
 *     first in the order that is available
 * @example
 *     getColdShare({callsPerSecond: 16, maximumCalls: 29, rank: 3, instances: 5, isDispatched: false}); // 3
 */
export function getColdShare({
  callsPerSecond,
  maximumCalls,
  rank,
  instances,
  isDispatched,
}: {
  readonly callsPerSecond: number;
  readonly maximumCalls: number;
  readonly rank: number;
  readonly instances: number;
  readonly isDispatched: boolean;
}): number {
  if (rank < 0 || rank >= instances) return 0;
  const agreed = getAgreedCalls(callsPerSecond, maximumCalls);
  if (isDispatched && instances > 1) return getDispatcherCalls(rank, agreed);
  const users = Math.min(instances, agreed);
  if (rank >= users) return 0;
  const extra = rank < agreed % users ? 1 : 0;
  return Math.floor(agreed / users) + extra;
}
