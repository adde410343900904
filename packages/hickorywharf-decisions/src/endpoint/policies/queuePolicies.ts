import type {EndpointRows} from '../endpointRows.ts';
import type {EndpointState} from '../endpointState.ts';
import {pickFairShortest} from './pickFairShortest.ts';
import {pickLowest} from './pickLowest.ts';

interface QueuePolicy {
  /**
   * Chooses the attempt to start next; null if all queued ones have to wait.
   * `now` is in monotonic milliseconds.
   */
  pick(state: EndpointState, now: number): EndpointRows['attempt'] | null;
  /** Whether `refuseInfeasible` refuses queued attempts. */
  readonly refusesInfeasible: boolean;
}

/**
 * Queue policies by the name that settings use. `firstInFirstOut` is the
 * baseline; `slack` starts the attempt with the earliest deadline less the time
 * that its later stages need; `fairShortest` shares the endpoint among
 * accounts, starts short attempts first and reserves slots for them.
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
