import type {EndpointRows} from '../endpointRows.ts';

/** Assumed for a generation without a maximum. */
const DEFAULT_TOKENS = 16;
const CHARACTERS_PER_UNIT = 500;

/**
 * Estimates the size of an attempt before it runs: one unit for each token to
 * generate (one in all for other stage kinds) and one for each 500 characters
 * of the text.
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
