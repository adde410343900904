/**
 * Computes a percentile by the nearest-rank method; 0 for an empty list.
 *
 * @param share the percentile as a fraction, between 0 and 1
 * @example
 *     getPercentile([1, 2, 3, 4], 0.5); // 2
 */
export function getPercentile(
  numbers: readonly number[],
  share: number,
): number {
  if (numbers.length === 0) return 0;
  const sorted = numbers.toSorted((left, right) => left - right);
  const rank = Math.max(1, Math.ceil(share * sorted.length));
  return sorted[rank - 1]!;
}
