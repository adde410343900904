/**
 * Estimates how many tokens of a prompt an engine has to read: its own part,
 * and also that of its session unless the engine is first in the order of the
 * session. Earlier parts are shared by many sessions and are held by all.
 *
 * @param parts parts of the prompt in order; only the last one is unique
 * @param rank position of the engine in the order of the session
 * @example
 *     countUncachedTokens([{tokens: 3800}, {tokens: 2900}], 0); // 2900
 *     countUncachedTokens([{tokens: 3800}, {tokens: 2900}], 1); // 6700
 */
export function countUncachedTokens(
  parts: ReadonlyArray<{readonly tokens: number}>,
  rank: number,
): number {
  const ownTokens = parts.at(-1)?.tokens ?? 0;
  return rank === 0 ? ownTokens : ownTokens + (parts.at(-2)?.tokens ?? 0);
}
