const UUID7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/**
 * Returns the issue time of a UUID version 7, in milliseconds since the epoch,
 * or null where the text is not such a UUID.
 *
 * @example
 *     getIssueTime('not a key'); // null
 */
export function getIssueTime(key: string): number | null {
  const match = UUID7.exec(key);
  if (match === null) return null;
  return Number.parseInt(`${match[1]}${match[2]}`, 16);
}
