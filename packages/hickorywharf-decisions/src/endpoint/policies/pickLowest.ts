import type {EndpointRows} from '../endpointRows.ts';
import type {EndpointState} from '../endpointState.ts';

type AttemptRow = EndpointRows['attempt'];

/**
 * Finds the queued attempt with the lowest rank, the first to arrive among
 * equals; null if none is queued.
 *
 * @example
 *     pickLowest(state, ({arrivedAt}) => arrivedAt)?.attemptId; // 'a-1'
 */
export function pickLowest(
  state: EndpointState,
  getRank: (attempt: AttemptRow) => number,
): AttemptRow | null {
  let next: AttemptRow | null = null;
  let least = Infinity;
  for (const attempt of state.attempts.rows()) {
    if (attempt.state !== 'queued') continue;
    const rank = getRank(attempt);
    if (rank >= least) continue;
    least = rank;
    next = attempt;
  }
  return next;
}
