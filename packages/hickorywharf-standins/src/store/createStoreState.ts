/** A key with its value. */
interface Item {
  readonly key: string;
  readonly value: unknown;
  readonly revision: number;
  /** Moment, by the state's clock, of the write. */
  readonly writtenAt: number;
  /** The lease that the key lives by, or null. */
  readonly lease: string | null;
}

interface Write {
  readonly key: string;
  /** Undefined to delete the key. */
  readonly value?: unknown;
  readonly expected: number;
  readonly lease?: string | null;
}

interface StoreState {
  readonly revision: number;
  get(key: string): Item | undefined;
  /** Items under a prefix that changed after a revision, oldest first. */
  list(prefix: string, after: number): Item[];
  /** Writes where the key's revision is the expected one. */
  write(write: Write): boolean;
  grantLease(lease: string, milliseconds: number): void;
  renewLease(lease: string): boolean;
  /** Lets a lease lapse, with the keys that live by it. */
  lapseLease(lease: string): void;
  /** Lapses the leases that are over. */
  expireLeases(): void;
  /** Copies everything, for `restore`. */
  backUp(): void;
  /** Goes back to the copy, its revision too. */
  restore(): void;
}

/**
 * The state of the store stand-in: keys, revisions and leases.
 *
 * @param now monotonic milliseconds
 * @example
 *     createStoreState(() => performance.now()).write({key, value, expected: 0});
 */
export function createStoreState(now: () => number): StoreState {
  const items = new Map<string, Item>();
  const leases = new Map<string, {milliseconds: number; until: number}>();
  let revision = 0;
  let backup = {items: new Map<string, Item>(), revision: 0};

  function write({key, value, expected, lease = null}: Write): boolean {
    if ((items.get(key)?.revision ?? 0) !== expected) return false;
    revision += 1;
    if (value === undefined) items.delete(key);
    else items.set(key, {key, value, revision, writtenAt: now(), lease});
    return true;
  }

  function lapseLease(lease: string): void {
    leases.delete(lease);
    for (const item of [...items.values()]) {
      if (item.lease !== lease) continue;
      write({key: item.key, expected: item.revision});
    }
  }

  return {
    get revision() {
      return revision;
    },
    get: (key) => items.get(key),
    list: (prefix, after) =>
      [...items.values()]
        .filter((item) => item.key.startsWith(prefix) && item.revision > after)
        .sort((left, right) => left.revision - right.revision),
    write,
    grantLease(lease, milliseconds) {
      leases.set(lease, {milliseconds, until: now() + milliseconds});
    },
    renewLease(lease) {
      const granted = leases.get(lease);
      if (granted === undefined) return false;
      granted.until = now() + granted.milliseconds;
      return true;
    },
    lapseLease,
    expireLeases() {
      for (const [lease, {until}] of leases) {
        if (now() >= until) lapseLease(lease);
      }
    },
    backUp() {
      backup = {items: new Map(items), revision};
    },
    restore() {
      items.clear();
      for (const [key, item] of backup.items) items.set(key, item);
      revision = backup.revision;
    },
  };
}
