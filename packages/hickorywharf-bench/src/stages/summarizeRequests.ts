import type {SimulatedRequest} from './simulatedRequest.ts';
import type {StageLoad} from './stageLoad.ts';

interface StageOutcome {
  readonly requests: number;
  /** Shares of the requests; `served` includes late ones. */
  readonly timely: number;
  readonly served: number;
  readonly refused: number;
  /** Value of the served requests as a share of that of all requests. */
  readonly worth: number;
  /** Mean time from the arrival of a refused request to its refusal. */
  readonly refusalMilliseconds: number;
  /** Shares of the requests that were served, late ones included, by kind. */
  readonly servedByKind: Readonly<Record<string, number>>;
}

/**
 * Summarizes the outcomes of all requests of a load.
 *
 * @example
 *     summarizeRequests(load, requests).worth;
 */
export function summarizeRequests(
  load: StageLoad,
  requests: readonly SimulatedRequest[],
): StageOutcome {
  let offeredWorth = 0;
  let servedWorth = 0;
  for (const {kind, outcome} of requests) {
    const {worth, lateWorth} = load.kinds[kind]!;
    offeredWorth += worth;
    if (outcome === 'timely') servedWorth += worth;
    if (outcome === 'late') servedWorth += lateWorth;
  }
  const count = (wanted: SimulatedRequest['outcome']) =>
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
    worth: servedWorth / offeredWorth,
    refusalMilliseconds: refusalTime / Math.max(refused.length, 1),
    servedByKind: Object.fromEntries(
      Object.keys(load.kinds).map((name) => {
        const ofKind = requests.filter(({kind}) => kind === name);
        const served = ofKind.filter(({outcome}) => outcome !== 'refused');
        return [name, served.length / Math.max(ofKind.length, 1)];
      }),
    ),
  };
}
