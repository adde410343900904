import {hashNumber} from 'hickorywharf-utils/hashNumber';

interface Member {
  readonly name: string;
  readonly failureDomain: string;
}

interface ChooseEntriesOptions {
  readonly endpoint: Member;
  /** Live entries, in any order. */
  readonly entries: readonly Member[];
  /** Endpoints in the pool of this one, itself included. */
  readonly poolSize: number;
  /** Endpoints of each pool that an entry is to have, on average. */
  readonly endpointsPerEntry: number;
}

/** Part of the entries that comes from the endpoint's own failure domain. */
const NEAR_SHARE = 0.5;

/** The entries of the highest weights, kept in order while going through. */
function pickHighest(
  endpoint: string,
  entries: readonly Member[],
  count: number,
): string[] {
  const best: {name: string; weight: number}[] = [];
  for (const {name} of entries) {
    const weight = hashNumber(`${endpoint}/${name}`);
    if (best.length >= count && weight <= best.at(-1)!.weight) continue;
    const place = best.findIndex((other) => other.weight < weight);
    best.splice(place === -1 ? best.length : place, 0, {name, weight});
    if (best.length > count) best.pop();
  }
  return best.map(({name}) => name);
}

/**
 * The entries that an endpoint is used by, where a pool is too large for all to
 * talk to all: half near, half anywhere. The endpoint's name decides, not the
 * entry's, so that every endpoint has the same number of entries and none is
 * left idle. An entry that comes or goes changes only the endpoints it had.
 *
 * @example
 *     chooseEntrySubset({endpoint, entries, poolSize: 4200, endpointsPerEntry: 64});
 */
export function chooseEntrySubset(options: ChooseEntriesOptions): Set<string> {
  const {endpoint, entries, poolSize, endpointsPerEntry} = options;
  const wanted = Math.ceil((endpointsPerEntry * entries.length) / poolSize);
  const count = Math.min(entries.length, wanted);
  const near = entries.filter(
    ({failureDomain}) => failureDomain === endpoint.failureDomain,
  );
  const nearCount = Math.floor(count * NEAR_SHARE);
  const chosen = new Set(pickHighest(endpoint.name, near, nearCount));
  for (const name of pickHighest(endpoint.name, entries, count)) {
    if (chosen.size < count) chosen.add(name);
  }
  return chosen;
}
