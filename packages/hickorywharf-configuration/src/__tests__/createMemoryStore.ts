import {errAsync, okAsync} from 'neverthrow';
import type {StoreClient} from 'hickorywharf-platform/storeClient';
import type {StoreError} from 'hickorywharf-platform/storeError';
import {createStoreState} from 'hickorywharf-standins/store/createStoreState';

interface MemoryStore extends StoreClient {
  readonly state: ReturnType<typeof createStoreState>;
  /** Called before each write; may throw to interrupt the caller. */
  beforeWrite: (key: string) => void;
  /** Number of next writes that are stored but whose responses are lost. */
  loseWriteAnswers: number;
  isDown: boolean;
}

function fail(tag: StoreError['tag']): StoreError {
  return {tag, step: 'claim', peer: 'memory', message: tag};
}

export function createMemoryStore(): MemoryStore {
  const state = createStoreState(() => 0);
  const write = (key: string, value: unknown, expected: number) => {
    if (store.isDown) return errAsync(fail('unavailable'));
    store.beforeWrite(key);
    // Stores a copy, as a remote store would.
    const copy = value === undefined ? value : structuredClone(value);
    if (!state.write({key, value: copy, expected})) {
      return errAsync(fail('conflict'));
    }
    if (store.loseWriteAnswers > 0) {
      store.loseWriteAnswers -= 1;
      return errAsync(fail('ambiguous'));
    }
    return okAsync(state.revision);
  };
  const store: MemoryStore = {
    state,
    beforeWrite: () => undefined,
    loseWriteAnswers: 0,
    isDown: false,
    get: (key) =>
      store.isDown
        ? errAsync(fail('unavailable'))
        : okAsync(state.get(key) ?? null),
    list: (prefix) =>
      store.isDown
        ? errAsync(fail('unavailable'))
        : okAsync(state.list(prefix, 0)),
    compareAndSwap: write,
    remove: (key, expected) => write(key, undefined, expected).map(() => null),
    watch: (prefix, after) =>
      store.isDown
        ? errAsync(fail('unavailable'))
        : okAsync({items: state.list(prefix, after), revision: state.revision}),
  };
  return store;
}
