import type {EndpointRows} from '../endpointRows.ts';

/** Tokens assumed for a generation that states no maximum. */
const DEFAULT_TOKENS = 16;
const CHARACTERS_PER_UNIT = 500;

/**
 * Estimates the size of an attempt before it runs: one unit for each token that
 * is still to be generated, at least one (one in all for other stage kinds),
 * and one for each 500 characters of the text.
 *
 * @example
 *     getWorkUnits(attempt); // at least 1
 */
export function getWorkUnits(attempt: EndpointRows['attempt']): number {
  const {kind, input} = attempt.frame;
  const text = input.text.length / CHARACTERS_PER_UNIT;
  if (kind !== 'generate') return 1 + text;
  const done = input.continuation?.length ?? 0;
  return Math.max(1, (input.maximumTokens ?? DEFAULT_TOKENS) - done) + text;
}
