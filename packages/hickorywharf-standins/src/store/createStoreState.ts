/** A key with its value. */
interface Item {
  readonly key: string;
  readonly value: unknown;
  readonly revision: number;
  /** When the key was written, in milliseconds of the state's clock. */
  readonly writtenAt: number;
  /** The lease that the key is attached to, or null. */
  readonly lease: string | null;
}

interface Write {
  readonly key: string;
  /** Undefined to delete the key. */
  readonly value?: unknown;
  /** Revision that the key has to have; 0 if it must not exist. */
  readonly expected: number;
  readonly lease?: string | null;
}

interface StoreState {
  /** Revision of the latest write. */
  readonly revision: number;
  get(key: string): Item | undefined;
  /** Items under a prefix written after a revision, oldest first. */
  list(prefix: string, after: number): Item[];
  /** Applies a write; false if the key's revision is not the expected one. */
  write(write: Write): boolean;
  grantLease(lease: string, milliseconds: number): void;
  /** Extends a lease by its duration; false if it does not exist. */
  renewLease(lease: string): boolean;
  /** Removes a lease and deletes the keys attached to it. */
  revokeLease(lease: string): void;
  /** Revokes the leases whose time has passed. */
  expireLeases(): void;
  /** Copies all items and the revision, for `restore`. */
  backUp(): void;
  /** Returns to the copy, including its revision. */
  restore(): void;
}

/**
 * Creates the state of the store stand-in: keys, revisions and leases.
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

  function revokeLease(lease: string): void {
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
      const held = leases.get(lease);
      if (held === undefined) return false;
      held.until = now() + held.milliseconds;
      return true;
    },
    revokeLease,
    expireLeases() {
      for (const [lease, {until}] of leases) {
        if (now() >= until) revokeLease(lease);
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
