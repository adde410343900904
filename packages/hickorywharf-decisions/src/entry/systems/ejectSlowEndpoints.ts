import type {EntryState} from '../entryState.ts';
import {getCurrentStage} from '../getCurrentStage.ts';
import {ejectEndpoint} from '../load/ejectEndpoint.ts';
import {getPoolMedianSlowness} from '../load/getPoolMedianSlowness.ts';
import {LOAD_LIMITS} from '../load/loadLimits.ts';

/**
 * The age of the oldest attempt at each endpoint, as a multiple of the usual
 * stage time. A slow endpoint returns few results to measure it by, so that
 * the attempts in flight count as well. Actions, attempts of an earlier stage,
 * and attempts that exceed the usual time by less than
 * `ejectionMinimumMilliseconds` are left out.
 */
function getOldestAges(state: EntryState, now: number): Map<string, number> {
  const ages = new Map<string, number>();
  for (const attempt of state.attempts.rows()) {
    const request = state.requests.get(attempt.requestId);
    if (request?.stageIndex !== attempt.stageIndex) continue;
    if (!getCurrentStage(request).idempotent) continue;
    const key = `${request.pipeline.name}/${attempt.stageIndex}`;
    // Without an estimate no attempt counts as old.
    const usual = state.estimates.get(key)?.milliseconds ?? Infinity;
    const elapsed = now - attempt.sentAt;
    if (elapsed - usual < LOAD_LIMITS.ejectionMinimumMilliseconds) continue;
    const age = elapsed / usual;
    if (age > (ages.get(attempt.endpoint) ?? 0)) {
      ages.set(attempt.endpoint, age);
    }
  }
  return ages;
}

function getMedian(values: readonly number[]): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function ejectFromPool(
  state: EntryState,
  names: readonly string[],
  ages: ReadonlyMap<string, number>,
  now: number,
): void {
  const {ejectionFactor, ejectionSamples, maximumEjectedShare} = LOAD_LIMITS;
  const limit = getPoolMedianSlowness(state, names) * ejectionFactor;
  // In an overload attempts age at all endpoints: the median sets the limit.
  const usualAge = getMedian(names.map((name) => ages.get(name) ?? 0));
  const ageLimit = Math.max(1, usualAge) * ejectionFactor;
  let ejected = names.filter(
    (name) => (state.load.latencies.get(name)?.ejectedUntil ?? 0) > now,
  ).length;
  for (const name of names) {
    if (ejected + 1 > names.length * maximumEjectedShare) return;
    const latency = state.load.latencies.get(name);
    if (latency === undefined || latency.ejectedUntil > now) continue;
    const isSlow =
      latency.samples >= ejectionSamples && latency.slowness > limit;
    if (!isSlow && (ages.get(name) ?? 0) <= ageLimit) continue;
    ejectEndpoint(state, name, now);
    ejected += 1;
  }
}

/**
 * Ejects endpoints that are much slower than their pool for a time, up to a
 * share of the pool.
 *
 * @example
 *     ejectSlowEndpoints(state, now);
 *     isEjected(state, slowEndpoint, now); // true
 */
export function ejectSlowEndpoints(state: EntryState, now: number): void {
  if (state.policies.ejection === 'none') return;
  const ages = getOldestAges(state, now);
  for (const endpoints of state.configuration?.endpointsByPool.values() ?? []) {
    const names = endpoints.map(({name}) => name);
    ejectFromPool(state, names, ages, now);
  }
}
