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
  homeKey: string,
  issueTime: number | null,
): string | undefined {
  if (issueTime === null) return undefined;
  const intervals = state.homes.get(homeKey) ?? [];
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
 * The endpoint to ask about an action: the home of the key's issue time, also
 * while it leaves, since nobody else may run the key. Where the home is not
 * known or cannot be reached, another endpoint of the pool is asked, who knows
 * better and says so in its refusal.
 *
 * @returns null where nobody is to be asked for now
 * @example
 *     chooseHome(state, request, candidates, now)?.name;
 */
export function chooseHome(
  state: EntryState,
  request: RequestRow,
  candidates: readonly Endpoint[],
  now: number,
): Endpoint | null {
  const {pool} = getCurrentStage(request);
  const key = request.idempotencyKey ?? '';
  const part = getPartition(key, state.homePartitionCount);
  const homeKey = getPartitionId({pool, half: request.half, part});
  const home = findKnownHome(state, homeKey, getIssueTime(key));
  const known = state.endpoints.get(home ?? '');
  if (known !== undefined && isReachable(known, now)) {
    return request.excluded.has(known.name) ? null : known;
  }
  const names = candidates.map(({name}) => name);
  const [first] = orderByRendezvous(homeKey, names);
  return candidates.find(({name}) => name === first) ?? null;
}
