import type {EndpointRows} from '../endpointRows.ts';

const DEFAULT_TOKENS = 16;
const CHARACTERS_PER_UNIT = 500;

/**
 * Size of an attempt's work, known before it is done: the tokens to generate,
 * and a part for the length of the text.
 *
 * @example
 *     getWorkUnits(attempt); // 1 for the shortest
 */
export function getWorkUnits(attempt: EndpointRows['attempt']): number {
  const {kind, input} = attempt.frame;
  const text = input.text.length / CHARACTERS_PER_UNIT;
  if (kind !== 'generate') return 1 + text;
  const done = input.continuation?.length ?? 0;
  return Math.max(1, (input.maximumTokens ?? DEFAULT_TOKENS) - done) + text;
}
