import type {ClaimOutcome} from 'hickorywharf-decisions/homes/claimOutcome';
import type {StoreClient} from 'hickorywharf-platform/storeClient';
import {digest} from 'hickorywharf-utils/digest';
import {sleep} from 'hickorywharf-utils/sleep';

interface ClaimKeyOptions {
  readonly store: StoreClient;
  readonly pool: string;
  readonly idempotencyKey: string;
  /** Unique to this claim, so that a read tells whose claim the store holds. */
  readonly claimId: string;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  /** True once the attempt that needs the claim has passed its deadline. */
  readonly isLate: () => boolean;
}

/** Mean of the randomized pause before a retry. */
const RETRY_BACKOFF_MILLISECONDS = 50;

async function readClaim(
  options: ClaimKeyOptions,
  key: string,
): Promise<ClaimOutcome> {
  const read = await options.store.get(key);
  // Neither a failed read nor an absent claim decides the outcome: a write
  // without a response may still be applied.
  if (read.isErr() || read.value === null) return 'unavailable';
  const {claimId} = read.value.value as {claimId: string};
  return claimId === options.claimId ? 'won' : 'lost';
}

/**
 * Claims an idempotency key for one attempt by compare-and-swap; a claim is
 * never released. After a write that did not succeed or has an unknown outcome,
 * reads the claim back, and retries until a read shows a claim. Resolves to
 * `unavailable` once `isLate` returns true.
 *
 * @example
 *     await claimKey({...options, pool: 'desks', idempotencyKey}); // 'won'
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
    await sleep(RETRY_BACKOFF_MILLISECONDS * (0.5 + random()));
  }
  return 'unavailable';
}
