import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';
import {getPartitionId} from './getPartitionId.ts';

interface OwnerCache {
  /**
   * Gives the owner of each part of a pool's key space for a half. Members in
   * another order, or others, are looked at anew.
   */
  getOwners(
    pool: string,
    half: string | null,
    members: readonly string[],
  ): (part: number) => string | undefined;
}

interface CachedOwners {
  readonly members: string;
  readonly owners: Map<number, string | undefined>;
}

/**
 * Remembers who owns which part, since members change seldom and homes are
 * planned several times a second.
 *
 * @example
 *     createOwnerCache().getOwners('desks', null, ['desk-1'])(3); // 'desk-1'
 */
export function createOwnerCache(): OwnerCache {
  const byPlace = new Map<string, CachedOwners>();
  return {
    getOwners(pool, half, members) {
      const place = `${pool}/${half ?? ''}`;
      const joined = members.join('\n');
      let cached = byPlace.get(place);
      if (cached?.members !== joined) {
        cached = {members: joined, owners: new Map()};
        byPlace.set(place, cached);
      }
      const {owners} = cached;
      return (part) => {
        if (!owners.has(part)) {
          const key = getPartitionId({pool, half, part});
          owners.set(part, orderByRendezvous(key, members)[0]);
        }
        return owners.get(part);
      };
    },
  };
}
