import type {EndpointState} from '../endpoint/endpointState.ts';
import type {createOwnerCache} from './createOwnerCache.ts';
import {getPartitionId} from './getPartitionId.ts';
import type {HomePlanOptions} from './homePlanOptions.ts';

type LocalOptions = Pick<
  HomePlanOptions,
  | 'pool'
  | 'slot'
  | 'wallNow'
  | 'monotonicNow'
  | 'intervalMilliseconds'
  | 'maximumSkewMilliseconds'
> & {
  /** Names of the endpoints that the platform lists as live. */
  readonly listed: ReadonlySet<string>;
  readonly ownerCache: ReturnType<typeof createOwnerCache>;
};

type Half = string | null;

/** Halves that the configuration names, and null for shared requests. */
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

/**
 * Creates a lookup of the names of the endpoints that may become homes of a
 * half: they belong to the pool, are listed as live and not draining, and are
 * assigned to this half or to none. For shared requests they have no half, or
 * any half if there is no endpoint without one.
 */
function createCandidateLookup(
  state: EndpointState,
  pool: string,
  listed: ReadonlySet<string>,
) {
  const records = [...(state.configuration?.endpoints.values() ?? [])].filter(
    (record) =>
      record.pool === pool && !record.draining && listed.has(record.name),
  );
  const getNames = (isIncluded: (half: Half) => boolean) =>
    records.filter(({half}) => isIncluded(half)).map(({name}) => name);
  const shared = getNames((half) => half === null);
  const all = getNames(() => true);
  const byHalf = new Map<Half, readonly string[]>();
  return (half: Half) => {
    // Without a shared endpoint, any endpoint may own the shared partitions.
    if (half === null) return shared.length > 0 ? shared : all;
    const known = byHalf.get(half);
    if (known !== undefined) return known;
    const names = getNames(
      (endpointHalf) => endpointHalf === null || endpointHalf === half,
    );
    byHalf.set(half, names);
    return names;
  };
}

/**
 * Creates a lookup of the exclusive upper bound of the issue times whose keys
 * this process has accepted, by partition; at least the watermark. The first
 * call of the lookup scans the actions.
 */
function createAcceptedUntilLookup(state: EndpointState, pool: string) {
  let acceptedUntil: Map<string, number> | null = null;
  return (half: Half, part: number): number => {
    if (acceptedUntil === null) {
      acceptedUntil = new Map();
      for (const {partitionId, issueTime} of state.actions.rows()) {
        if (issueTime === null) continue;
        const known = acceptedUntil.get(partitionId) ?? 0;
        acceptedUntil.set(partitionId, Math.max(known, issueTime + 1));
      }
    }
    const retained = acceptedUntil.get(getPartitionId({pool, half, part})) ?? 0;
    // Evicted keys have issue times below the watermark, which does not depend
    // on a clock.
    return Math.max(retained, state.watermark);
  };
}

/**
 * Collects the inputs for planning the homes of a pool from the state of an
 * endpoint process.
 *
 * @param local settings, clock readings and membership of this process
 * @example
 *     const options = createHomePlanOptions(core.state, local);
 *     writer.plan(options); // null if nothing is to change
 */
export function createHomePlanOptions(
  state: EndpointState,
  local: LocalOptions,
): HomePlanOptions {
  const {listed, ownerCache, ...rest} = local;
  const getCandidates = createCandidateLookup(state, local.pool, listed);
  const {name, incarnation, homePartitionCount, configuration} = state;
  const draining = configuration?.endpoints.get(name)?.draining === true;
  return {
    ...rest,
    name,
    incarnation,
    partitionCount: homePartitionCount,
    halves: getHalves(state),
    getOwnerLookup: (half) =>
      ownerCache.getOwnerLookup(local.pool, half, getCandidates(half)),
    leaving: state.leaving || draining,
    assignmentSequence: configuration?.assignmentSequence ?? 0,
    getAcceptedUntil: createAcceptedUntilLookup(state, local.pool),
    getPendingRelease(interval) {
      const pending = state.releases.get(getPartitionId(interval));
      return pending?.epoch === interval.epoch ? pending.until : undefined;
    },
  };
}
