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

function createMemberLookup(
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
    // Without a shared endpoint any endpoint may own the shared partitions.
    if (half === null) return shared.length > 0 ? shared : all;
    const known = byHalf.get(half);
    if (known !== undefined) return known;
    const names = getNames((own) => own === null || own === half);
    byHalf.set(half, names);
    return names;
  };
}

/** Exclusive upper bound of the issue times that ran, by partition. */
function createExecutedUntil(state: EndpointState, pool: string) {
  let executedUntil: Map<string, number> | null = null;
  return (half: Half, part: number): number => {
    if (executedUntil === null) {
      executedUntil = new Map();
      for (const {partitionId, issueTime} of state.actions.rows()) {
        if (issueTime === null) continue;
        const known = executedUntil.get(partitionId) ?? 0;
        executedUntil.set(partitionId, Math.max(known, issueTime + 1));
      }
    }
    const ranUntil = executedUntil.get(getPartitionId({pool, half, part})) ?? 0;
    // Evicted keys have issue times below the watermark.
    return Math.max(ranUntil, state.watermark);
  };
}

/**
 * Collects from the state of an endpoint process what planning its pool's homes
 * needs.
 *
 * @param local settings, clock readings and membership of this process
 * @example
 *     writer.plan(createHomePlanOptions(core.state, local));
 */
export function createHomePlanOptions(
  state: EndpointState,
  local: LocalOptions,
): HomePlanOptions {
  const {listed, ownerCache, ...rest} = local;
  const getMembers = createMemberLookup(state, local.pool, listed);
  const {name, incarnation, homePartitionCount, configuration} = state;
  const draining = configuration?.endpoints.get(name)?.draining === true;
  return {
    ...rest,
    name,
    incarnation,
    partitionCount: homePartitionCount,
    halves: getHalves(state),
    getOwners: (half) =>
      ownerCache.getOwners(local.pool, half, getMembers(half)),
    leaving: state.leaving || draining,
    assignmentSequence: configuration?.assignmentSequence ?? 0,
    getExecutedUntil: createExecutedUntil(state, local.pool),
    getPendingRelease(interval) {
      const pending = state.releases.get(getPartitionId(interval));
      return pending?.epoch === interval.epoch ? pending.until : undefined;
    },
  };
}
