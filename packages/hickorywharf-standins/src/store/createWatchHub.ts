import type {createStoreState} from './createStoreState.ts';
import type {StoreFaults} from './storeFaults.ts';

type State = ReturnType<typeof createStoreState>;
type Item = ReturnType<State['list']>[number];

interface WatchChanges {
  readonly items: readonly Item[];
  readonly revision: number;
}

interface WatchHub {
  /** Notifies watchers of the latest write, unless a fault drops it. */
  notify(): void;
  /** Makes all waiting watches check for changes and faults. */
  wakeAll(): void;
  /**
   * Resolves with the changes under a prefix after a revision, or with none
   * after the given time. The next wait continues after `revision`.
   */
  wait(
    prefix: string,
    after: number,
    milliseconds: number,
  ): Promise<WatchChanges>;
}

/** Interval at which a watch checks for delayed changes. */
const DELAY_POLL_MILLISECONDS = 20;

/**
 * Creates the watches of the store stand-in. Faults drop, delay or reorder
 * their events.
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
  /** Revisions that are never delivered to watchers. */
  const dropped = new Set<number>();

  function wakeAll(): void {
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

  function collect(prefix: string, after: number): WatchChanges {
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
    notify() {
      if (faults.dropWatchEvents > 0) {
        faults.dropWatchEvents -= 1;
        dropped.add(state.revision);
      }
      wakeAll();
    },
    wakeAll,
    async wait(prefix, after, milliseconds) {
      const endsAt = now() + milliseconds;
      let changes = collect(prefix, after);
      while (
        changes.items.length === 0 &&
        now() < endsAt &&
        !faults.unavailable
      ) {
        const isDelaying = faults.delayWatchMilliseconds > 0;
        const remainingMilliseconds = Math.max(1, endsAt - now());
        const pollMilliseconds = Math.min(
          remainingMilliseconds,
          DELAY_POLL_MILLISECONDS,
        );
        await waitForChange(
          isDelaying ? pollMilliseconds : remainingMilliseconds,
        );
        // The returned revision is past a dropped event, so it is never sent.
        changes = collect(prefix, after);
      }
      return changes;
    },
  };
}
