import {orderByRendezvous} from 'hickorywharf-utils/orderByRendezvous';
import {getPartitionId} from './getPartitionId.ts';

interface OwnerCache {
  /**
   * Returns a lookup for one half of a pool (null for shared requests): from
   * the number of a partition to the name of its owner, the endpoint that
   * should be its home. The lookup returns undefined if there are no endpoint
   * names. A call with other names, or the same in another order, discards the
   * cached owners of the half.
   */
  getOwnerLookup(
    pool: string,
    half: string | null,
    endpointNames: readonly string[],
  ): (part: number) => string | undefined;
}

interface CachedOwners {
  /** Names of the endpoints that the owners were chosen from, one a line. */
  readonly members: string;
  /** By the number of the partition. */
  readonly owners: Map<number, string | undefined>;
}

/**
 * Caches the partition owners that rendezvous hashing gives: the endpoints of a
 * pool change rarely, and homes are planned several times a second.
 *
 * @example
 *     const cache = createOwnerCache();
 *     cache.getOwnerLookup('desks', null, ['desk-1'])(3); // 'desk-1'
 */
export function createOwnerCache(): OwnerCache {
  const byPoolAndHalf = new Map<string, CachedOwners>();
  return {
    getOwnerLookup(pool, half, endpointNames) {
      const cacheKey = `${pool}/${half ?? ''}`;
      const joinedNames = endpointNames.join('\n');
      let cached = byPoolAndHalf.get(cacheKey);
      if (cached?.members !== joinedNames) {
        cached = {members: joinedNames, owners: new Map()};
        byPoolAndHalf.set(cacheKey, cached);
      }
      const {owners} = cached;
      return (part) => {
        if (!owners.has(part)) {
          const key = getPartitionId({pool, half, part});
          owners.set(part, orderByRendezvous(key, endpointNames)[0]);
        }
        return owners.get(part);
      };
    },
  };
}
