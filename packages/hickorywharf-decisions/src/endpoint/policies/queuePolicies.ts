import type {EndpointRows} from '../endpointRows.ts';
import type {EndpointState} from '../endpointState.ts';
import {pickFairShortest} from './pickFairShortest.ts';
import {pickLowest} from './pickLowest.ts';

interface QueuePolicy {
  /** The attempt to start next; null where what waits has to wait on. */
  pick(state: EndpointState, now: number): EndpointRows['attempt'] | null;
  /** Whether attempts that cannot finish in time are refused early. */
  readonly refusesInfeasible: boolean;
}

/**
 * The orders in which waiting attempts start, by the name that settings and
 * experiments use. `firstInFirstOut` is the baseline; `slack` starts what can least afford to
 * wait for its later stages; `fairShortest` shares the endpoint among accounts,
 * starts what is short first and keeps slots for it.
 */
export const queuePolicies: Readonly<Record<string, QueuePolicy>> = {
  firstInFirstOut: {
    pick: (state) => pickLowest(state, ({arrivedAt}) => arrivedAt),
    refusesInfeasible: false,
  },
  slack: {
    pick: (state) =>
      pickLowest(
        state,
        ({deadlineAt, frame}) => deadlineAt - frame.laterMilliseconds,
      ),
    refusesInfeasible: true,
  },
  fairShortest: {pick: pickFairShortest, refusesInfeasible: true},
};
