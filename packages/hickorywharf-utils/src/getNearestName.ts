/** The Levenshtein distance, computed row by row. */
function getDistance(left: string, right: string): number {
  let row = Array.from({length: right.length + 1}, (_, index) => index);
  for (let i = 1; i <= left.length; i += 1) {
    const next = [i];
    for (let j = 1; j <= right.length; j += 1) {
      const substitution = row[j - 1]! + (left[i - 1] === right[j - 1] ? 0 : 1);
      next.push(Math.min(row[j]! + 1, next[j - 1]! + 1, substitution));
    }
    row = next;
  }
  return row[right.length]!;
}

/**
 * Returns the candidate nearest to a mistyped name by edit distance, or null
 * where none is within half the name's length. Only the first 64 characters of
 * the name are compared, which bounds the work for a very long one.
 *
 * @example
 *     getNearestName('catalouge', ['catalogue', 'checkout']); // 'catalogue'
 */
export function getNearestName(
  name: string,
  candidates: Iterable<string>,
): string | null {
  let nearest: string | null = null;
  let least = Math.max(1, Math.floor(name.length / 2)) + 1;
  for (const candidate of candidates) {
    const distance = getDistance(name.slice(0, 64), candidate);
    if (distance < least) {
      least = distance;
      nearest = candidate;
    }
  }
  return nearest;
}
