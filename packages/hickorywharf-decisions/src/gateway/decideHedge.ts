/** What is known when a call has been at an endpoint for its hedge delay. */
interface HedgeFacts {
  /** Whether the call may run, and be sent, once more beside the attempt. */
  readonly mayRunAgain: boolean;
  /** Whether the endpoint of the attempt counts as silent already. */
  readonly isSilent: boolean;
  /** Whether another endpoint is left that may get the call now. */
  readonly hasEndpoint: boolean;
  /** Calls of this instance in progress at the service. */
  readonly running: number;
  /** Calls of this instance to the service in each millisecond, recently. */
  readonly callsPerMillisecond: number;
  /** Instances that share the endpoints, with about equal shares of calls. */
  readonly instances: number;
  /** Calls that the endpoints of the service run in parallel. */
  readonly slots: number;
  /** Whether the key of the call was confirmed recently enough. */
  readonly hasFreshKey: boolean;
  /** Whether the call is kept from endpoints, as some ended under it. */
  readonly isQuarantined: boolean;
  /** Time left until the deadline of the call, or the end of the instance. */
  readonly timeLeftMilliseconds: number;
  /** Time in which a usual endpoint answers half of the calls. */
  readonly usualMilliseconds: number;
  /** Whether the operators' share of calls, and of room, has one left. */
  readonly isWithinShare: boolean;
  /** Retries of this service in the window, of all kinds, and their limit. */
  readonly retries: {readonly used: number; readonly limit: number};
}

type HedgeDecision =
  | {readonly tag: 'hedge'}
  | {
      readonly tag: 'wait';
      readonly missing:
        | 'noRun'
        | 'silence'
        | 'noEndpoint'
        | 'load'
        | 'keys'
        | 'quarantine'
        | 'time'
        | 'share'
        | 'budget';
    };

/** With a larger share of the slots in use, a further call slows others down. */
const MAXIMUM_LOAD_SHARE = 0.6;
/** Fewer calls of one instance say nothing of the others'. */
const MINIMUM_RUNNING = 4;
/** The rest of the budget of retries is left for failures. */
const BUDGET_SHARE = 0.5;

/** Calls of all instances in progress at the service. */
function estimateInProgress(facts: HedgeFacts): number {
  const {running, callsPerMillisecond, usualMilliseconds, instances} = facts;
  // Slow to rise, as it needs answers, but exact for few calls as well.
  const usually = callsPerMillisecond * usualMilliseconds;
  const now = running < MINIMUM_RUNNING ? 0 : running;
  return Math.max(usually, now) * Math.max(1, instances);
}

/**
 * Decides whether a call that has been at an endpoint for longer than nearly all
 * calls of a usual one gets a second attempt beside the first.
 *
 * Designed for one slow endpoint of several. Where all are slow, the delay grows
 * with them; where they are full, the share of slots in use forbids it.
 *
 * @example
 *     decideHedge({...facts, isWithinShare: false});
 *     // {tag: 'wait', missing: 'share'}
 */
export function decideHedge(facts: HedgeFacts): HedgeDecision {
  const {slots, retries} = facts;
  if (!facts.mayRunAgain) return {tag: 'wait', missing: 'noRun'};
  // The call looks for another endpoint already.
  if (facts.isSilent) return {tag: 'wait', missing: 'silence'};
  if (!facts.hasEndpoint) return {tag: 'wait', missing: 'noEndpoint'};
  if (estimateInProgress(facts) > slots * MAXIMUM_LOAD_SHARE) {
    return {tag: 'wait', missing: 'load'};
  }
  if (!facts.hasFreshKey) return {tag: 'wait', missing: 'keys'};
  if (facts.isQuarantined) return {tag: 'wait', missing: 'quarantine'};
  if (facts.timeLeftMilliseconds <= facts.usualMilliseconds) {
    return {tag: 'wait', missing: 'time'};
  }
  if (!facts.isWithinShare) return {tag: 'wait', missing: 'share'};
  if (retries.used + 1 > retries.limit * BUDGET_SHARE) {
    return {tag: 'wait', missing: 'budget'};
  }
  return {tag: 'hedge'};
}
