import test from 'ava';
import {createRandom} from 'hickorywharf-utils/createRandom';
import {createEntryLoad} from '../createEntryLoad.ts';
import {recordArrival} from '../recordArrival.ts';

const ACCOUNT = {
  kind: 'account',
  schemaVersion: 2,
  name: 'large',
  keyHash: '',
  requestsPerSecond: 50,
  weight: 1,
  half: null,
} as const;
const ENTRIES = 5;
const SECONDS = 20;
const OFFERED_PER_SECOND = 500;

test('a rate limit holds over all entries without a central counter', (t) => {
  const random = createRandom(3);
  const loads = Array.from({length: ENTRIES}, () => {
    const load = createEntryLoad();
    load.entryCount = ENTRIES;
    return load;
  });
  let allowed = 0;
  for (let count = 0; count < OFFERED_PER_SECOND * SECONDS; count += 1) {
    const load = loads[Math.floor(random() * ENTRIES)]!;
    const now = (count / OFFERED_PER_SECOND) * 1000;
    if (recordArrival(load, ACCOUNT, now)) allowed += 1;
  }
  const {requestsPerSecond} = ACCOUNT;
  // The token bucket allows a burst of one second's requests in addition.
  t.true(allowed <= requestsPerSecond * (SECONDS + 1));
  t.true(allowed >= requestsPerSecond * SECONDS * 0.95);
});
