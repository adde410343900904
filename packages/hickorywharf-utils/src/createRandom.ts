/**
 * Creates a seeded generator of numbers in [0, 1) (mulberry32), so that a run
 * can be reproduced from its seed. Not for cryptographic use.
 *
 * @example
 *     const random = createRandom(7);
 *     random(); // always the same first number for seed 7
 */
export function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  };
}
