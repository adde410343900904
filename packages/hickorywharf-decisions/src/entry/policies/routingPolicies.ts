import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';
import {chooseByCost} from './chooseByCost.ts';
import {getReportedLoad} from './getReportedLoad.ts';
import type {RoutingPolicy} from './routingPolicy.ts';

type Endpoint = EntryRows['endpoint'];

/** Load added in comparisons to an endpoint of another failure domain. */
const FAILURE_DOMAIN_BIAS = 0.25;

function pickRandom(
  state: EntryState,
  candidates: readonly Endpoint[],
): Endpoint {
  return candidates[Math.floor(state.random() * candidates.length)]!;
}

function getBiasedLoad(state: EntryState, endpoint: Endpoint): number {
  const isSameDomain = endpoint.failureDomain === state.failureDomain;
  return getReportedLoad(endpoint) + (isSameDomain ? 0 : FAILURE_DOMAIN_BIAS);
}

/**
 * Policies that choose an endpoint, by the names that settings and experiments
 * use. `random`, `roundRobin` and `leastReported` are baselines. `cost` is
 * `chooseByCost`. `twoChoices` picks two endpoints at random, which may be the
 * same, and takes the one with the lower load, with a bias to endpoints of the
 * entry's own failure domain.
 */
export const routingPolicies: Readonly<Record<string, RoutingPolicy>> = {
  random: pickRandom,
  roundRobin: (state, candidates) => {
    state.nextIdentifier += 1;
    return candidates[state.nextIdentifier % candidates.length]!;
  },
  leastReported: (_state, candidates) =>
    candidates.reduce((best, candidate) => {
      const load = candidate.load?.queued ?? 0;
      return load < (best.load?.queued ?? 0) ? candidate : best;
    }),
  cost: chooseByCost,
  twoChoices: (state, candidates) => {
    const first = pickRandom(state, candidates);
    const second = pickRandom(state, candidates);
    return getBiasedLoad(state, first) <= getBiasedLoad(state, second)
      ? first
      : second;
  },
};
