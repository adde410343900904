import type {ModelRequest} from './modelRequest.ts';
import type {StageLoad} from './stageLoad.ts';

interface StageOutcome {
  readonly requests: number;
  /** Shares of the requests. */
  readonly timely: number;
  readonly served: number;
  readonly refused: number;
  /** Share of the worth that was asked for. */
  readonly worth: number;
  /** Mean time until a request that is not served is told so. */
  readonly refusalMilliseconds: number;
}

/**
 * What became of all requests of a load.
 *
 * @example
 *     summarizeRequests(load, requests).worth;
 */
export function summarizeRequests(
  load: StageLoad,
  requests: readonly ModelRequest[],
): StageOutcome {
  let asked = 0;
  let earned = 0;
  for (const {kind, outcome} of requests) {
    const {worth, lateWorth} = load.kinds[kind]!;
    asked += worth;
    if (outcome === 'timely') earned += worth;
    if (outcome === 'late') earned += lateWorth;
  }
  const count = (wanted: ModelRequest['outcome']) =>
    requests.filter(({outcome}) => outcome === wanted).length;
  const refused = requests.filter(({outcome}) => outcome === 'refused');
  const refusalTime = refused.reduce(
    (sum, {at, endedAt}) => sum + endedAt - at,
    0,
  );
  return {
    requests: requests.length,
    timely: count('timely') / requests.length,
    served: (count('timely') + count('late')) / requests.length,
    refused: refused.length / requests.length,
    worth: earned / asked,
    refusalMilliseconds: refusalTime / Math.max(refused.length, 1),
  };
}
