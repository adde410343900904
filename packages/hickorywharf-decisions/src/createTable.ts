import type {Table} from './table.ts';

/**
 * Creates an empty table that keeps its rows in order of insertion; see
 * `Table`.
 *
 * @example
 *     const requests = createTable<RequestRow>();
 *     requests.insert(row.requestId, row);
 *     requests.size; // 1
 */
export function createTable<Row>(): Table<Row> {
  const entries = new Map<string, Row>();
  return {
    get size() {
      return entries.size;
    },
    get: (identifier) => entries.get(identifier),
    has: (identifier) => entries.has(identifier),
    insert: (identifier, row) => void entries.set(identifier, row),
    remove: (identifier) => void entries.delete(identifier),
    rows: () => entries.values(),
  };
}
