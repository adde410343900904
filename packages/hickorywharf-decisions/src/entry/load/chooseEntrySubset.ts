import {hashNumber} from 'hickorywharf-utils/hashNumber';

interface Process {
  readonly name: string;
  readonly failureDomain: string;
}

interface ChooseEntriesOptions {
  readonly endpoint: Process;
  /** Live entry processes, in any order. */
  readonly entries: readonly Process[];
  /** Endpoints in the pool of this one, itself included. */
  readonly poolSize: number;
  /** Average number of endpoints of a pool that an entry connects to. */
  readonly endpointsPerEntry: number;
}

/** Share of the subset taken from the endpoint's own failure domain. */
const SAME_DOMAIN_SHARE = 0.5;

/** The entries with the highest rendezvous weights, highest first. */
function pickHighest(
  endpoint: string,
  entries: readonly Process[],
  count: number,
): string[] {
  const best: {name: string; weight: number}[] = [];
  for (const {name} of entries) {
    const weight = hashNumber(`${endpoint}/${name}`);
    if (best.length >= count && weight <= best.at(-1)!.weight) continue;
    const index = best.findIndex((other) => other.weight < weight);
    best.splice(index === -1 ? best.length : index, 0, {name, weight});
    if (best.length > count) best.pop();
  }
  return best.map(({name}) => name);
}

/**
 * Chooses the subset of entries that use an endpoint, for a pool that is too
 * large for a full mesh: up to half of them from the endpoint's own failure
 * domain, the others from any. Each endpoint chooses its entries, not the
 * reverse, so that every endpoint of a pool has the same number of entries and
 * none is left idle. Rendezvous hashing makes an entry that joins or leaves
 * change only the subsets that it is part of, as long as the size of the subsets
 * stays the same.
 *
 * @example
 *     // With 370 entries:
 *     chooseEntrySubset({endpoint, entries, poolSize: 4200,
 *       endpointsPerEntry: 64}).size; // 6
 */
export function chooseEntrySubset(options: ChooseEntriesOptions): Set<string> {
  const {endpoint, entries, poolSize, endpointsPerEntry} = options;
  const wanted = Math.ceil((endpointsPerEntry * entries.length) / poolSize);
  const count = Math.min(entries.length, wanted);
  const sameDomainEntries = entries.filter(
    ({failureDomain}) => failureDomain === endpoint.failureDomain,
  );
  const sameDomainCount = Math.floor(count * SAME_DOMAIN_SHARE);
  const chosen = new Set(
    pickHighest(endpoint.name, sameDomainEntries, sameDomainCount),
  );
  for (const name of pickHighest(endpoint.name, entries, count)) {
    if (chosen.size < count) chosen.add(name);
  }
  return chosen;
}
