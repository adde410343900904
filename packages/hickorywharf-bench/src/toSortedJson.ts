function sortKeys(_key: string, value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return value;
  }
  const entries = Object.entries(value);
  return Object.fromEntries(entries.sort(([a], [b]) => (a < b ? -1 : 1)));
}

/**
 * Serializes a value as JSON with the keys of every object sorted, so that
 * equal values give equal texts.
 *
 * @example
 *     toSortedJson({b: 1, a: 2}); // '{"a":2,"b":1}'
 */
export function toSortedJson(value: unknown): string {
  return JSON.stringify(value, sortKeys);
}
