function sortKeys(_key: string, value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return value;
  }
  const entries = Object.entries(value);
  return Object.fromEntries(entries.sort(([a], [b]) => (a < b ? -1 : 1)));
}

/**
 * JSON with the keys of every object in order, so that equal values give equal
 * texts.
 *
 * @example
 *     sortedJson({b: 1, a: 2}); // '{"a":2,"b":1}'
 */
export function sortedJson(value: unknown): string {
  return JSON.stringify(value, sortKeys);
}
