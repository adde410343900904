import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';
import {getPartitionId} from './getPartitionId.ts';

interface OwnerCache {
  /**
   * Returns a lookup from partition to its owner for one half of a pool, or
   * undefined if there are no members. Different members, or the same in
   * another order, discard the cached owners of that half.
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
 * Caches the partition owners that rendezvous hashing gives: members change
 * rarely, and homes are planned several times a second.
 *
 * @example
 *     createOwnerCache().getOwners('desks', null, ['desk-1'])(3); // 'desk-1'
 */
export function createOwnerCache(): OwnerCache {
  const byHalf = new Map<string, CachedOwners>();
  return {
    getOwners(pool, half, members) {
      const cacheKey = `${pool}/${half ?? ''}`;
      const joined = members.join('\n');
      let cached = byHalf.get(cacheKey);
      if (cached?.members !== joined) {
        cached = {members: joined, owners: new Map()};
        byHalf.set(cacheKey, cached);
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
