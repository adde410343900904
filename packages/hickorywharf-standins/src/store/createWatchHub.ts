import type {createStoreState} from './createStoreState.ts';
import type {StoreFaults} from './storeFaults.ts';

type State = ReturnType<typeof createStoreState>;
type Item = ReturnType<State['list']>[number];

interface WatchAnswer {
  readonly items: readonly Item[];
  readonly revision: number;
}

interface WatchHub {
  /** Tells watchers that something was written, as far as faults let it. */
  tell(): void;
  /** Ends all waiting watches. */
  wake(): void;
  wait(
    prefix: string,
    after: number,
    milliseconds: number,
  ): Promise<WatchAnswer>;
}

/** How often a watch looks for changes that were delayed. */
const DELAY_POLL_MILLISECONDS = 20;

/**
 * The watches of the store stand-in, with events that are dropped, delayed or
 * told in the wrong order.
 *
 * @param now monotonic milliseconds
 * @example
 *     await createWatchHub(state, faults, now).wait('homes/', 0, 1000);
 */
export function createWatchHub(
  state: State,
  faults: StoreFaults,
  now: () => number,
): WatchHub {
  const waiters = new Set<() => void>();
  /** Revisions that watchers are never told of. */
  const dropped = new Set<number>();

  function wake(): void {
    for (const waiter of [...waiters]) waiter();
  }

  function waitForChange(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const waiter = () => {
        waiters.delete(waiter);
        clearTimeout(timer);
        resolve();
      };
      const timer = setTimeout(waiter, milliseconds);
      waiters.add(waiter);
    });
  }

  function collect(prefix: string, after: number): WatchAnswer {
    const changed = state.list(prefix, after);
    const visibleUntil = now() - faults.delayWatchMilliseconds;
    const delayed = changed.findIndex((item) => item.writtenAt > visibleUntil);
    const visible = delayed === -1 ? changed : changed.slice(0, delayed);
    const items = visible.filter((item) => !dropped.has(item.revision));
    if (faults.reverseWatchEvents) items.reverse();
    const revision =
      delayed === -1 ? state.revision : changed[delayed]!.revision - 1;
    return {items, revision};
  }

  return {
    tell() {
      if (faults.dropWatchEvents > 0) {
        faults.dropWatchEvents -= 1;
        dropped.add(state.revision);
      }
      wake();
    },
    wake,
    async wait(prefix, after, milliseconds) {
      const end = now() + milliseconds;
      let answer = collect(prefix, after);
      while (answer.items.length === 0 && now() < end && !faults.unavailable) {
        const isDelaying = faults.delayWatchMilliseconds > 0;
        const left = Math.max(1, end - now());
        const pause = Math.min(left, DELAY_POLL_MILLISECONDS);
        await waitForChange(isDelaying ? pause : left);
        // Going on from here, a dropped event is never told of.
        answer = collect(prefix, after);
      }
      return answer;
    },
  };
}
