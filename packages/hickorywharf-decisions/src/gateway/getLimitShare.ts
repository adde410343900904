/** What one instance may use of the rate limit of an endpoint. */
interface LimitShare {
  readonly callsPerSecond: number;
  /** The most calls at once after a pause. */
  readonly burst: number;
}

/**
 * Instances that use a limit in addition to one for each whole call per second.
 * Each may send a call at any time, so a low limit is left to few instances.
 */
const ADDITIONAL_INSTANCES = 2;
/** Calls of all instances together that a burst may add to those per second. */
const ADDITIONAL_BURST_CALLS = 2.5;
/**
 * Shares of a limit of the first two instances that may dispatch for a stage:
 * nearly all calls come from the first, and the second replaces it before the
 * instance list says so.
 */
const DISPATCHER_SHARES = [0.75, 0.5];

/**
 * Divides the rate limit of an endpoint among the instances, without
 * communication: every instance with the same list computes the same shares.
 *
 * Designed for limits between less than one and some dozen calls a second, and
 * up to several hundred instances.
 *
 * @param callsPerSecond the limit for all instances together
 * @param rank position of the instance in the endpoint's order of instances; -1
 *     if it is not among them
 * @param instances number of instances in that order
 * @param isDispatched whether one instance at a time sends nearly all calls, the
 *     first in the order that is available
 * @example
 *     getLimitShare({callsPerSecond: 0.3, rank: 5, instances: 30, isDispatched: false});
 *     // {callsPerSecond: 0, burst: 0}
 */
export function getLimitShare({
  callsPerSecond,
  rank,
  instances,
  isDispatched,
}: {
  readonly callsPerSecond: number;
  readonly rank: number;
  readonly instances: number;
  readonly isDispatched: boolean;
}): LimitShare {
  const users = Math.min(
    instances,
    isDispatched
      ? DISPATCHER_SHARES.length
      : Math.floor(callsPerSecond) + ADDITIONAL_INSTANCES,
  );
  if (rank < 0 || rank >= users) return {callsPerSecond: 0, burst: 0};
  if (users === 1) {
    return {callsPerSecond, burst: Math.max(1, callsPerSecond)};
  }
  if (isDispatched) {
    return {
      callsPerSecond: callsPerSecond * DISPATCHER_SHARES[rank]!,
      burst: 1,
    };
  }
  const burst = (callsPerSecond + ADDITIONAL_BURST_CALLS) / users;
  return {callsPerSecond: callsPerSecond / users, burst: Math.max(1, burst)};
}
