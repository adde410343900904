import {errAsync, okAsync} from 'neverthrow';
import type {StoreClient} from 'hickorywharf-platform/storeClient';
import test from 'ava';
import {claimKey} from '../claimKey.ts';

type WriteFault = 'none' | 'notApplied' | 'appliedLate' | 'responseLost';

const ERROR = {step: 'claim', peer: 'store', message: ''} as const;

/**
 * A store whose successive writes have the given faults; later ones have none.
 */
function createStore(faults: readonly WriteFault[], readFailures = 0) {
  const items = new Map<string, {value: unknown; revision: number}>();
  const late: (() => void)[] = [];
  const remaining = [...faults];
  let failures = readFailures;
  let revision = 0;

  function write(key: string, value: unknown): boolean {
    if (items.has(key)) return false;
    revision += 1;
    items.set(key, {value, revision});
    return true;
  }

  const store: Pick<StoreClient, 'get' | 'compareAndSwap'> = {
    get(key) {
      if (failures > 0) {
        failures -= 1;
        return errAsync({...ERROR, tag: 'unavailable' as const});
      }
      const item = items.get(key);
      return okAsync(item === undefined ? null : {key, ...item});
    },
    compareAndSwap(key, value) {
      const fault = remaining.shift() ?? 'none';
      if (fault === 'notApplied') return errAsync({...ERROR, tag: 'ambiguous'});
      if (fault === 'appliedLate') {
        late.push(() => write(key, value));
        return errAsync({...ERROR, tag: 'ambiguous'});
      }
      if (!write(key, value)) return errAsync({...ERROR, tag: 'conflict'});
      return fault === 'responseLost'
        ? errAsync({...ERROR, tag: 'ambiguous'})
        : okAsync(revision);
    },
  };
  return {
    store: store as StoreClient,
    applyLateWrites: () => late.splice(0).forEach((apply) => apply()),
  };
}

/** Claims a key; its attempt is late after the given number of checks. */
function claim(store: StoreClient, claimId: string, checks = 5) {
  let remainingChecks = checks;
  return claimKey({
    store,
    pool: 'desks',
    idempotencyKey: 'booking-7',
    claimId,
    random: () => 0,
    isLate: () => (remainingChecks -= 1) < 0,
  });
}

test('one claim of a key is won and every other is lost', async (t) => {
  const {store} = createStore([]);
  t.is(await claim(store, 'a'), 'won');
  t.is(await claim(store, 'b'), 'lost');
});

test('a claim whose response was lost is decided by reading it back', async (t) => {
  const {store} = createStore(['responseLost'], 1);
  t.is(await claim(store, 'a'), 'won');
  t.is(await claim(store, 'b'), 'lost');
});

test('a read that fails or finds nothing does not mean that there is no claim', async (t) => {
  const {store, applyLateWrites} = createStore(['appliedLate', 'notApplied']);
  t.is(await claim(store, 'a', 2), 'unavailable');
  applyLateWrites();
  t.is(await claim(store, 'b'), 'lost');
});

test('no key is claimed while the store is unavailable', async (t) => {
  const {store} = createStore(['notApplied', 'notApplied', 'notApplied'], 3);
  t.is(await claim(store, 'a', 3), 'unavailable');
});
