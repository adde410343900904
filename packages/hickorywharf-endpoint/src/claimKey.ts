import type {ClaimOutcome} from 'hickorywharf-decisions/homes/claimOutcome';
import type {StoreClient} from 'hickorywharf-platform/storeClient';
import {digest} from 'hickorywharf-utils/digest';
import {sleep} from 'hickorywharf-utils/sleep';

interface ClaimKeyOptions {
  readonly store: StoreClient;
  readonly pool: string;
  readonly idempotencyKey: string;
  /** Unique to this claim: what tells it from another's in the store. */
  readonly claimId: string;
  readonly random: () => number;
  /** True once nobody waits for the claim any longer. */
  readonly isLate: () => boolean;
}

const PAUSE_MILLISECONDS = 50;

async function readClaim(
  options: ClaimKeyOptions,
  key: string,
): Promise<ClaimOutcome> {
  const read = await options.store.get(key);
  // A read that failed, or found nothing, says nothing about the claim: a
  // write may still land.
  if (read.isErr() || read.value === null) return 'unavailable';
  const {claimId} = read.value.value as {claimId: string};
  return claimId === options.claimId ? 'won' : 'lost';
}

/**
 * Claims a key for one attempt by compare-and-swap, for ever. A write whose
 * outcome is not known is settled by reading the claim back.
 *
 * @example
 *     await claimKey({store, pool: 'desks', idempotencyKey, claimId, random,
 *       isLate});
 */
export async function claimKey(
  options: ClaimKeyOptions,
): Promise<ClaimOutcome> {
  const {store, pool, idempotencyKey, claimId, random, isLate} = options;
  const key = `claims/${pool}/${digest(idempotencyKey)}`;
  while (!isLate()) {
    const written = await store.compareAndSwap(key, {claimId}, 0);
    if (written.isOk()) return 'won';
    const outcome = await readClaim(options, key);
    if (outcome !== 'unavailable') return outcome;
    await sleep(PAUSE_MILLISECONDS * (0.5 + random()));
  }
  return 'unavailable';
}
