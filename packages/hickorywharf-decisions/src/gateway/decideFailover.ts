/** What a call would have at another endpoint, beside its silent attempts. */
interface FailoverFacts {
  /** Whether the call may run once more, and be sent once more. */
  readonly mayRunAgain: boolean;
  /** Whether an endpoint is left that may get the call now. */
  readonly hasEndpoint: boolean;
  /** Whether the budget of retries has room. */
  readonly hasBudget: boolean;
  /** Whether the key of the call was confirmed recently enough. */
  readonly hasFreshKey: boolean;
  /** Whether the call is kept from endpoints, as some ended under it. */
  readonly isQuarantined: boolean;
  /** Whether the call reads results of stages that have to be made anew. */
  readonly needsStages: boolean;
  /** Whether its stages may run once more. */
  readonly mayRunStages: boolean;
  /** Time left until the deadline of the call, or the end of the instance. */
  readonly timeLeftMilliseconds: number;
  /** Time that another endpoint takes for the call at least. */
  readonly neededMilliseconds: number;
}

type FailoverDecision =
  | {readonly tag: 'ready'}
  /** The stages have to run first. */
  | {readonly tag: 'runStages'}
  | {
      readonly tag: 'wait';
      readonly missing:
        | 'noRun'
        | 'time'
        | 'noEndpoint'
        | 'budget'
        | 'keys'
        | 'quarantine'
        | 'stages';
    };

/**
 * Decides whether a call whose attempts are silent, and may go on, is sent to
 * another endpoint beside them. It is sent only with all that it needs there, as
 * a send in vain uses up the budget that all calls share.
 *
 * Designed for sound endpoints that are silent for a second, many or all of
 * them at the same time.
 *
 * @example
 *     decideFailover({...facts, hasBudget: false});
 *     // {tag: 'wait', missing: 'budget'}
 */
export function decideFailover(facts: FailoverFacts): FailoverDecision {
  if (!facts.mayRunAgain) return {tag: 'wait', missing: 'noRun'};
  if (facts.timeLeftMilliseconds <= facts.neededMilliseconds) {
    return {tag: 'wait', missing: 'time'};
  }
  if (!facts.hasEndpoint) return {tag: 'wait', missing: 'noEndpoint'};
  if (!facts.hasBudget) return {tag: 'wait', missing: 'budget'};
  if (!facts.hasFreshKey) return {tag: 'wait', missing: 'keys'};
  if (facts.isQuarantined) return {tag: 'wait', missing: 'quarantine'};
  if (!facts.needsStages) return {tag: 'ready'};
  return facts.mayRunStages
    ? {tag: 'runStages'}
    : {tag: 'wait', missing: 'stages'};
}
