import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';
import {getCorrectedLoad} from '../load/getCorrectedLoad.ts';
import {getPrefixRow} from '../load/getPrefixRow.ts';
import {LOAD_LIMITS} from '../load/loadLimits.ts';

type Endpoint = EntryRows['endpoint'];
type PrefixRow = NonNullable<ReturnType<typeof getPrefixRow>>;

function sample(
  state: EntryState,
  candidates: readonly Endpoint[],
): readonly Endpoint[] {
  const {comparedEndpoints} = LOAD_LIMITS;
  if (candidates.length <= comparedEndpoints) return candidates;
  // Each at most once: the picked ones are moved to the front of a copy.
  const left = [...candidates];
  for (let index = 0; index < comparedEndpoints; index += 1) {
    const other = index + Math.floor(state.random() * (left.length - index));
    [left[index], left[other]] = [left[other]!, left[index]!];
  }
  return left.slice(0, comparedEndpoints);
}

function getWarmth(prefix: PrefixRow, endpoint: Endpoint, now: number): number {
  const at = prefix.cachedAt.get(endpoint.name);
  if (at === undefined) return 0;
  return 0.5 ** ((now - at) / LOAD_LIMITS.prefixHalfLifeMilliseconds);
}

function getCost(
  state: EntryState,
  endpoint: Endpoint,
  prefix: PrefixRow | null,
  now: number,
): number {
  const load = getCorrectedLoad(state, endpoint);
  const isNear = endpoint.failureDomain === state.failureDomain;
  const distance = isNear ? 0 : LOAD_LIMITS.failureDomainBias;
  // A warm prefix draws no work to an endpoint that is full: no hot spot.
  const isOpen = load < LOAD_LIMITS.prefixMaximumLoad;
  const saved =
    prefix === null || !isOpen
      ? 0
      : (prefix.reusedTokens / LOAD_LIMITS.prefixTokensPerLoad) *
        getWarmth(prefix, endpoint, now);
  return load + distance - saved;
}

/**
 * Chooses the cheapest of a few endpoints picked at random and of those where
 * the prompt's prefix is believed to be warm: by corrected load, failure domain
 * and the prefill that reuse would save.
 *
 * @example
 *     chooseByCost(state, candidates, now, request);
 */
export function chooseByCost(
  state: EntryState,
  candidates: readonly Endpoint[],
  now: number,
  request: EntryRows['request'],
): Endpoint {
  const stage = request.pipeline.stages[request.stageIndex];
  const prefix =
    stage?.kind === 'generate'
      ? getPrefixRow(state.load, request.input.text)
      : null;
  const compared = new Set(sample(state, candidates));
  for (const candidate of prefix === null ? [] : candidates) {
    if (prefix?.cachedAt.has(candidate.name)) compared.add(candidate);
  }
  let best = candidates[0]!;
  let least = Infinity;
  for (const candidate of compared) {
    const cost = getCost(state, candidate, prefix, now);
    if (cost >= least) continue;
    least = cost;
    best = candidate;
  }
  return best;
}
