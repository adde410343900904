import type {EndpointState} from '../endpoint/endpointState.ts';
import type {createOwnerCache} from './createOwnerCache.ts';
import {getPartitionId} from './getPartitionId.ts';
import type {HomePlanOptions} from './homePlanOptions.ts';

type Given = Pick<
  HomePlanOptions,
  | 'pool'
  | 'slot'
  | 'wallNow'
  | 'monotonicNow'
  | 'intervalMilliseconds'
  | 'maximumSkewMilliseconds'
> & {
  /** Endpoints that are there, as far as the platform's list tells. */
  readonly listed: ReadonlySet<string>;
  readonly ownerCache: ReturnType<typeof createOwnerCache>;
};

type Half = string | null;

function getHalves(state: EndpointState): readonly Half[] {
  const halves = new Set<Half>([null]);
  const {configuration} = state;
  for (const {half} of configuration?.endpoints.values() ?? []) {
    halves.add(half);
  }
  for (const {half} of configuration?.routes.values() ?? []) halves.add(half);
  for (const {half} of configuration?.accountsByKeyHash.values() ?? []) {
    halves.add(half);
  }
  return [...halves];
}

function createMembers(
  state: EndpointState,
  pool: string,
  listed: ReadonlySet<string>,
) {
  const records = [...(state.configuration?.endpoints.values() ?? [])].filter(
    (record) =>
      record.pool === pool && !record.draining && listed.has(record.name),
  );
  const getNames = (isMember: (half: Half) => boolean) =>
    records.filter(({half}) => isMember(half)).map(({name}) => name);
  const shared = getNames((half) => half === null);
  const all = getNames(() => true);
  const byHalf = new Map<Half, readonly string[]>();
  return (half: Half) => {
    // Shared requests go to any endpoint once none is shared.
    if (half === null) return shared.length > 0 ? shared : all;
    const known = byHalf.get(half);
    if (known !== undefined) return known;
    const names = getNames((own) => own === null || own === half);
    byHalf.set(half, names);
    return names;
  };
}

/** Above every issue time that ran, by half and part. */
function createRanUntil(state: EndpointState, pool: string) {
  let ranUntil: Map<string, number> | null = null;
  return (half: Half, part: number): number => {
    if (ranUntil === null) {
      ranUntil = new Map();
      for (const {
        partitionId: partitionId,
        issueTime,
      } of state.actions.rows()) {
        if (issueTime === null) continue;
        const known = ranUntil.get(partitionId) ?? 0;
        ranUntil.set(partitionId, Math.max(known, issueTime + 1));
      }
    }
    const ran = ranUntil.get(getPartitionId({pool, half, part})) ?? 0;
    // Forgotten keys lie below the watermark, whatever the clock says now.
    return Math.max(ran, state.watermark);
  };
}

/**
 * What an endpoint process knows when it plans its pool's homes.
 *
 * @example
 *     agent.plan(createHomePlanOptions(core.state, given));
 */
export function createHomePlanOptions(
  state: EndpointState,
  given: Given,
): HomePlanOptions {
  const {listed, ownerCache, ...rest} = given;
  const getMembers = createMembers(state, given.pool, listed);
  const {
    name,
    incarnation,
    homePartitionCount: homePartitionCount,
    configuration,
  } = state;
  const draining = configuration?.endpoints.get(name)?.draining === true;
  return {
    ...rest,
    name,
    incarnation,
    partitionCount: homePartitionCount,
    halves: getHalves(state),
    getOwners: (half) =>
      ownerCache.getOwners(given.pool, half, getMembers(half)),
    leaving: state.leaving || draining,
    assignmentSequence: configuration?.assignmentSequence ?? 0,
    getExecutedUntil: createRanUntil(state, given.pool),
    getPendingRelease(interval) {
      const pending = state.releases.get(getPartitionId(interval));
      return pending?.epoch === interval.epoch ? pending.until : undefined;
    },
  };
}
