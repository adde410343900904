import {REQUEST_PREFIX} from './requestPrefix.ts';

/**
 * Whether a suspect is a request as a whole, not a part of a prompt.
 *
 * @example
 *     isRequestName('5c1e07a2'); // false
 */
export function isRequestName(suspect: string): boolean {
  return suspect.startsWith(REQUEST_PREFIX);
}
