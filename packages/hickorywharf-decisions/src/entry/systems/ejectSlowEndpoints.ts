import type {EntryState} from '../entryState.ts';
import {getCurrentStage} from '../getCurrentStage.ts';
import {getPoolMedianSlowness} from '../load/getPoolMedianSlowness.ts';
import {getSpeed} from '../load/getSpeed.ts';
import {LOAD_LIMITS} from '../load/loadLimits.ts';

/** A slow endpoint gives few results: what is out there counts by its age. */
function getOldestAge(state: EntryState, now: number): Map<string, number> {
  const ages = new Map<string, number>();
  for (const attempt of state.attempts.rows()) {
    const request = state.requests.get(attempt.requestId);
    if (request?.stageIndex !== attempt.stageIndex) continue;
    if (!getCurrentStage(request).idempotent) continue;
    const key = `${request.pipeline.name}/${attempt.stageIndex}`;
    const usual = state.estimates.get(key)?.milliseconds ?? Infinity;
    const age = (now - attempt.sentAt) / usual;
    if (age > (ages.get(attempt.endpoint) ?? 0)) {
      ages.set(attempt.endpoint, age);
    }
  }
  return ages;
}

function eject(state: EntryState, name: string, now: number): void {
  const speed = getSpeed(state.load, name);
  const {ejectionMilliseconds, maximumEjectionMilliseconds} = LOAD_LIMITS;
  const pause = ejectionMilliseconds * 2 ** speed.ejections;
  speed.ejectedUntil = now + Math.min(pause, maximumEjectionMilliseconds);
  speed.ejections += 1;
  speed.isOnTrial = true;
  speed.samples = 0;
  speed.slowness = 1;
}

function judgePool(
  state: EntryState,
  names: readonly string[],
  ages: ReadonlyMap<string, number>,
  now: number,
): void {
  const {ejectionFactor, ejectionSamples, ejectedShare} = LOAD_LIMITS;
  const limit = getPoolMedianSlowness(state, names) * ejectionFactor;
  let ejected = names.filter(
    (name) => (state.load.speeds.get(name)?.ejectedUntil ?? 0) > now,
  ).length;
  for (const name of names) {
    if (ejected + 1 > names.length * ejectedShare) return;
    const speed = state.load.speeds.get(name);
    if (speed === undefined || speed.ejectedUntil > now) continue;
    const isSlow = speed.samples >= ejectionSamples && speed.slowness > limit;
    if (!isSlow && (ages.get(name) ?? 0) <= limit) continue;
    eject(state, name, now);
    ejected += 1;
  }
}

/**
 * Takes endpoints that are much slower than their pool out of it for a time,
 * and never more than a share of the pool.
 *
 * @example
 *     ejectSlowEndpoints(state, now);
 */
export function ejectSlowEndpoints(state: EntryState, now: number): void {
  if (state.policies.ejection === 'none') return;
  const ages = getOldestAge(state, now);
  for (const members of state.configuration?.endpointsByPool.values() ?? []) {
    const names = members.map(({name}) => name);
    judgePool(state, names, ages, now);
  }
}
