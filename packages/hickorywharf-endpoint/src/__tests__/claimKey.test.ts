import {errAsync, okAsync} from 'neverthrow';
import type {StoreClient} from 'hickorywharf-platform/storeClient';
import test from 'ava';
import {claimKey} from '../claimKey.ts';

type Fate = 'lands' | 'isLost' | 'landsLate' | 'answerLost';

const FAULT = {step: 'claim', peer: 'store', message: ''} as const;

/** A store whose writes meet the given fates, one after the other. */
function createStore(fates: readonly Fate[], readFailures = 0) {
  const items = new Map<string, {value: unknown; revision: number}>();
  const late: (() => void)[] = [];
  const left = [...fates];
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
        return errAsync({...FAULT, tag: 'unavailable' as const});
      }
      const item = items.get(key);
      return okAsync(item === undefined ? null : {key, ...item});
    },
    compareAndSwap(key, value) {
      const fate = left.shift() ?? 'lands';
      if (fate === 'isLost') return errAsync({...FAULT, tag: 'ambiguous'});
      if (fate === 'landsLate') {
        late.push(() => write(key, value));
        return errAsync({...FAULT, tag: 'ambiguous'});
      }
      if (!write(key, value)) return errAsync({...FAULT, tag: 'conflict'});
      return fate === 'answerLost'
        ? errAsync({...FAULT, tag: 'ambiguous'})
        : okAsync(revision);
    },
  };
  return {
    store: store as StoreClient,
    landLate: () => late.splice(0).forEach((land) => land()),
  };
}

function claim(store: StoreClient, claimId: string, looks = 5) {
  let left = looks;
  return claimKey({
    store,
    pool: 'desks',
    idempotencyKey: 'booking-7',
    claimId,
    random: () => 0,
    isLate: () => (left -= 1) < 0,
  });
}

test('one claim of a key is won and every other is lost', async (t) => {
  const {store} = createStore([]);
  t.is(await claim(store, 'a'), 'won');
  t.is(await claim(store, 'b'), 'lost');
});

test('a claim whose answer was lost is settled by reading it back', async (t) => {
  const {store} = createStore(['answerLost'], 1);
  t.is(await claim(store, 'a'), 'won');
  t.is(await claim(store, 'b'), 'lost');
});

test('a read that fails or finds nothing is never "no claim"', async (t) => {
  const {store, landLate} = createStore(['landsLate', 'isLost']);
  t.is(await claim(store, 'a', 2), 'unavailable');
  landLate();
  t.is(await claim(store, 'b'), 'lost');
});

test('with the store down nothing is claimed', async (t) => {
  const {store} = createStore(['isLost', 'isLost', 'isLost'], 3);
  t.is(await claim(store, 'a', 3), 'unavailable');
});
