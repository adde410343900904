import type {AccountWorkFigures} from './accountWorkFigures.ts';

interface Refused {
  milliseconds: number;
  /** Monotonic milliseconds. */
  updatedAt: number;
}

/** Times are monotonic milliseconds, work is in milliseconds. */
interface AccountWork {
  /** Counts work until the function returned is called. */
  startCall(account: string, milliseconds: number): () => void;
  recordRefusal(account: string, milliseconds: number, now: number): void;
  /** The work of the calls of an account that have not ended. */
  getWork(account: string): number;
  getFigures(now: number): AccountWorkFigures;
}

/**
 * Refused work counts as demand with a weight that falls by a factor of e in
 * this time. Callers who gave up don't hold a share for much longer.
 */
const REFUSED_DECAY_MILLISECONDS = 1500;
/** Refused work below this weight no longer counts. */
const MINIMUM_REFUSED_MILLISECONDS = 1;

/**
 * Counts the work that the calls of each client account have at this instance,
 * and the work of those that were refused lately.
 *
 * @example
 *     const work = createAccountWork();
 *     const end = work.startCall('farm-1', 420);
 *     work.getFigures(now).accounts.get('farm-1')?.workMilliseconds; // 420
 *     end();
 */
export function createAccountWork(): AccountWork {
  const work = new Map<string, number>();
  const refused = new Map<string, Refused>();
  let lastRefusalAt = -Infinity;

  function add(account: string, milliseconds: number): void {
    const sum = (work.get(account) ?? 0) + milliseconds;
    // What rounding leaves is less than any call's work.
    if (sum > 0.001) work.set(account, sum);
    else work.delete(account);
  }

  /** What counts of the refused work of an account. */
  function decay(account: string, now: number): number {
    const entry = refused.get(account);
    if (entry === undefined) return 0;
    const elapsed = Math.max(0, now - entry.updatedAt);
    entry.milliseconds *= Math.exp(-elapsed / REFUSED_DECAY_MILLISECONDS);
    entry.updatedAt = now;
    if (entry.milliseconds >= MINIMUM_REFUSED_MILLISECONDS) {
      return entry.milliseconds;
    }
    refused.delete(account);
    return 0;
  }

  return {
    startCall(account, milliseconds) {
      add(account, milliseconds);
      let hasEnded = false;
      return () => {
        if (!hasEnded) add(account, -milliseconds);
        hasEnded = true;
      };
    },
    recordRefusal(account, milliseconds, now) {
      const before = decay(account, now);
      refused.set(account, {
        milliseconds: before + milliseconds,
        updatedAt: now,
      });
      lastRefusalAt = now;
    },
    getWork: (account) => work.get(account) ?? 0,
    getFigures(now) {
      const names = new Set([...work.keys(), ...refused.keys()]);
      const accounts = new Map(
        Array.from(names, (account) => [
          account,
          {
            workMilliseconds: work.get(account) ?? 0,
            refusedMilliseconds: decay(account, now),
          },
        ]),
      );
      return {
        instances: 1,
        ageMilliseconds: 0,
        refusedAgeMilliseconds: now - lastRefusalAt,
        accounts,
        others: {accounts: 0, workMilliseconds: 0, refusedMilliseconds: 0},
      };
    },
  };
}
