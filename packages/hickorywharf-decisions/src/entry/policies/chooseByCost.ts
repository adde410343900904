import type {EntryRows} from '../entryRows.ts';
import type {EntryState} from '../entryState.ts';
import {getCorrectedLoad} from '../load/getCorrectedLoad.ts';
import {getOrCreatePrefixRow} from '../load/getOrCreatePrefixRow.ts';
import {LOAD_LIMITS} from '../load/loadLimits.ts';

type Endpoint = EntryRows['endpoint'];
type PrefixRow = NonNullable<ReturnType<typeof getOrCreatePrefixRow>>;

function sample(
  state: EntryState,
  candidates: readonly Endpoint[],
): readonly Endpoint[] {
  const {comparedEndpoints} = LOAD_LIMITS;
  if (candidates.length <= comparedEndpoints) return candidates;
  // A partial Fisher-Yates shuffle samples without replacement.
  const shuffled = [...candidates];
  for (let index = 0; index < comparedEndpoints; index += 1) {
    const other =
      index + Math.floor(state.random() * (shuffled.length - index));
    [shuffled[index], shuffled[other]] = [shuffled[other]!, shuffled[index]!];
  }
  return shuffled.slice(0, comparedEndpoints);
}

function getCacheLikelihood(
  prefix: PrefixRow,
  endpoint: Endpoint,
  now: number,
): number {
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
  const isSameDomain = endpoint.failureDomain === state.failureDomain;
  const bias = isSameDomain ? 0 : LOAD_LIMITS.failureDomainBias;
  // A cached prefix must not make a hot spot of an endpoint at capacity.
  const hasCapacity = load < LOAD_LIMITS.prefixMaximumLoad;
  const saved =
    prefix === null || !hasCapacity
      ? 0
      : (prefix.reusedTokens / LOAD_LIMITS.prefixTokensPerLoad) *
        getCacheLikelihood(prefix, endpoint, now);
  return load + bias - saved;
}

/**
 * Chooses the endpoint of the lowest cost among a random sample and those that
 * probably have the prompt's prefix cached. The cost is the corrected load,
 * plus a constant for another failure domain, minus the prefill that reuse of
 * the prefix would save at an endpoint with free capacity.
 *
 * @example
 *     chooseByCost(state, candidates, now, request).name; // 'engine-1'
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
      ? getOrCreatePrefixRow(state.load, request.input.text)
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
