/**
 * Resolves after a number of milliseconds.
 *
 * @example
 *     await sleep(50);
 */
export function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
