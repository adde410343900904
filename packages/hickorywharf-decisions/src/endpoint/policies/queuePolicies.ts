import type {EndpointRows} from '../endpointRows.ts';

type AttemptRow = EndpointRows['attempt'];

/** Gives a rank to a waiting attempt; the lowest starts first. */
type QueuePolicy = (attempt: AttemptRow, now: number) => number;

/**
 * The orders in which waiting attempts start, by the name that settings and
 * experiments use. `firstInFirstOut` is the baseline; `slack` starts what can
 * least afford to wait for its later stages.
 */
export const queuePolicies: Readonly<Record<string, QueuePolicy>> = {
  firstInFirstOut: (attempt) => attempt.arrivedAt,
  slack: (attempt) => attempt.deadlineAt - attempt.frame.laterMilliseconds,
};
