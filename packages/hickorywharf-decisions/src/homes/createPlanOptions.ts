import type {EndpointState} from '../endpoint/endpointState.ts';
import type {createOwnerCache} from './createOwnerCache.ts';
import {getHomeKey} from './getHomeKey.ts';
import type {PlanOptions} from './planOptions.ts';

type Given = Pick<
  PlanOptions,
  | 'pool'
  | 'slot'
  | 'wallNow'
  | 'monotonicNow'
  | 'lengthMilliseconds'
  | 'aheadMilliseconds'
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
      for (const {homeKey, issueTime} of state.actions.rows()) {
        if (issueTime === null) continue;
        const known = ranUntil.get(homeKey) ?? 0;
        ranUntil.set(homeKey, Math.max(known, issueTime + 1));
      }
    }
    const ran = ranUntil.get(getHomeKey({pool, half, part})) ?? 0;
    // Forgotten keys lie below the watermark, whatever the clock says now.
    return Math.max(ran, state.watermark);
  };
}

/**
 * What an endpoint process knows when it plans its pool's homes.
 *
 * @example
 *     agent.plan(createPlanOptions(core.state, given));
 */
export function createPlanOptions(
  state: EndpointState,
  given: Given,
): PlanOptions {
  const {listed, ownerCache, ...rest} = given;
  const getMembers = createMembers(state, given.pool, listed);
  const {name, incarnation, homeParts, configuration} = state;
  const draining = configuration?.endpoints.get(name)?.draining === true;
  return {
    ...rest,
    name,
    incarnation,
    parts: homeParts,
    halves: getHalves(state),
    getOwners: (half) =>
      ownerCache.getOwners(given.pool, half, getMembers(half)),
    leaving: state.leaving || draining,
    assignmentSequence: configuration?.assignmentSequence ?? 0,
    getRanUntil: createRanUntil(state, given.pool),
    getPendingRelease(interval) {
      const pending = state.releases.get(getHomeKey(interval));
      return pending?.epoch === interval.epoch ? pending.until : undefined;
    },
  };
}
