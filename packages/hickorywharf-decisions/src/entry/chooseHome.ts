import {getIssueTime} from 'hickorywharf-utils/getIssueTime';
import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';
import {findInterval} from '../homes/findInterval.ts';
import {getPartitionId} from '../homes/getPartitionId.ts';
import {getPartition} from '../homes/getPartition.ts';
import {ENTRY_LIMITS} from './entryLimits.ts';
import type {EntryRows} from './entryRows.ts';
import type {EntryState} from './entryState.ts';
import {getCurrentStage} from './getCurrentStage.ts';

type Endpoint = EntryRows['endpoint'];
type RequestRow = EntryRows['request'];

function findKnownHome(
  state: EntryState,
  partitionId: string,
  issueTime: number | null,
): string | undefined {
  if (issueTime === null) return undefined;
  const intervals = state.homes.get(partitionId) ?? [];
  const newest = intervals.at(-1);
  const interval = findInterval(intervals, issueTime);
  return (interval ?? newest)?.home;
}

function isReachable(endpoint: Endpoint, now: number): boolean {
  const silence = now - endpoint.lastSeenAt;
  return (
    endpoint.connected && silence <= ENTRY_LIMITS.silenceTimeoutMilliseconds
  );
}

/**
 * Chooses the endpoint that an action is sent to: the home of its idempotency
 * key at the key's issue time, even while that endpoint is leaving, since no
 * other endpoint may run the key. Where no known interval contains the issue
 * time, the home of the newest one is chosen. Where the home is unknown or
 * unreachable, or the key has no issue time, one of `candidates` is chosen, whose
 * refusal may name the home.
 *
 * @returns null where the home is reachable but has refused or failed this
 *   stage, or where it cannot be chosen and `candidates` is empty
 * @example
 *     chooseHome(state, request, candidates, now)?.name; // 'desk-1'
 */
export function chooseHome(
  state: EntryState,
  request: RequestRow,
  candidates: readonly Endpoint[],
  now: number,
): Endpoint | null {
  const {pool} = getCurrentStage(request);
  // Never null here: a pipeline with an action is refused without a key.
  const key = request.idempotencyKey ?? '';
  const partition = getPartition(key, state.homePartitionCount);
  const partitionId = getPartitionId({
    pool,
    half: request.half,
    part: partition,
  });
  const home = findKnownHome(state, partitionId, getIssueTime(key));
  // No endpoint has an empty name.
  const known = state.endpoints.get(home ?? '');
  if (known !== undefined && isReachable(known, now)) {
    return request.excluded.has(known.name) ? null : known;
  }
  const names = candidates.map(({name}) => name);
  const [first] = orderByRendezvous(partitionId, names);
  return candidates.find(({name}) => name === first) ?? null;
}
