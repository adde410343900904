import {ENTRY_LIMITS} from './entryLimits.ts';
import type {EntryRows} from './entryRows.ts';
import type {EntryState} from './entryState.ts';
import {getCurrentStage} from './getCurrentStage.ts';
import {isEjected} from './load/isEjected.ts';

function servesHalf(half: string | null, wanted: string | null): boolean {
  return half === null || wanted === null || half === wanted;
}

/**
 * Returns the endpoints that may serve the current stage of a request: those of
 * its pool that serve its half, are connected, were seen within the silence
 * timeout, are neither draining nor leaving, and are not in `excluded`. An
 * endpoint without a half serves every request, and a shared request may be
 * served by any half. Ejected endpoints are left out while others remain; for a
 * stage that is not idempotent, ejection has no effect.
 *
 * @example
 *     getCandidates(state, request, now).length; // 3
 */
export function getCandidates(
  state: EntryState,
  request: EntryRows['request'],
  now: number,
): EntryRows['endpoint'][] {
  const {pool} = getCurrentStage(request);
  const candidates: EntryRows['endpoint'][] = [];
  for (const record of state.configuration?.endpointsByPool.get(pool) ?? []) {
    if (record.draining) continue;
    if (!servesHalf(record.half, request.half)) continue;
    const endpoint = state.endpoints.get(record.name);
    if (endpoint === undefined || !endpoint.connected) continue;
    if (endpoint.leaving || endpoint.isListedLeaving) continue;
    if (request.excluded.has(endpoint.name)) continue;
    if (now - endpoint.lastSeenAt > ENTRY_LIMITS.silenceTimeoutMilliseconds) {
      continue;
    }
    candidates.push(endpoint);
  }
  if (!getCurrentStage(request).idempotent) return candidates;
  const healthy = candidates.filter(
    (endpoint) => !isEjected(state, endpoint, now),
  );
  return healthy.length > 0 ? healthy : candidates;
}
