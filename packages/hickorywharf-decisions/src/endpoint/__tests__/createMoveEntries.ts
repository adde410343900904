import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';

interface MoveEntriesOptions {
  readonly pool: string;
  readonly names: readonly string[];
  /**
   * Issue times from which the account's first and last move apply; the move
   * between them states none. In milliseconds since the Unix epoch.
   */
  readonly movesFrom: readonly [number, number];
}

type Change = ConfigurationEntry['changes'][number];

/**
 * Builds the entries of a configuration log that moves an account and two
 * endpoints between halves and drains one of them for a time.
 */
export function createMoveEntries(
  options: MoveEntriesOptions,
): ConfigurationEntry[] {
  const {pool, names, movesFrom} = options;
  const [first, second] = names as [string, string];
  const endpoint = (
    name: string,
    half: string | null,
    draining = false,
  ): Change => ({
    kind: 'endpoint',
    name,
    document: {kind: 'endpoint', schemaVersion: 2, name, pool, half, draining},
  });
  const account = (half: string | null, from?: number): Change => ({
    kind: 'account',
    name: 'portal',
    document: {
      kind: 'account',
      schemaVersion: 2,
      name: 'portal',
      keyHash: 'a'.repeat(64),
      requestsPerSecond: 1,
      half,
      ...(from === undefined ? {} : {movesFrom: from}),
    },
  });
  const changes = [
    [account(null), ...names.map((name) => endpoint(name, null))],
    [account('lisbon', movesFrom[0])],
    [endpoint(second, 'other')],
    [account('other')],
    [endpoint(first, null, true)],
    [endpoint(first, null), account(null, movesFrom[1])],
  ];
  return changes.map((change, index) => ({
    sequence: index + 1,
    operation: String(index),
    changes: change,
  }));
}
