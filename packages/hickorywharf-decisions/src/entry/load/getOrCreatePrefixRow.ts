import {hashNumber} from 'hickorywharf-utils/hashNumber';
import type {EntryLoad} from './entryLoad.ts';
import {LOAD_LIMITS} from './loadLimits.ts';

type PrefixRow = ReturnType<EntryLoad['prefixes']['get']> & object;

/**
 * Returns the row of the prefix that a text starts with, created where there is
 * none, or null for a text that is shorter than a prefix. A row beyond the
 * maximum replaces the least recently used one.
 *
 * @example
 *     getOrCreatePrefixRow(state.load, request.input.text)?.reusedTokens;
 */
export function getOrCreatePrefixRow(
  load: EntryLoad,
  text: string,
): PrefixRow | null {
  const {prefixCharacters, maximumPrefixes} = LOAD_LIMITS;
  if (text.length < prefixCharacters) return null;
  const key = hashNumber(text.slice(0, prefixCharacters));
  const known = load.prefixes.get(key);
  if (known !== undefined) {
    // Moved to the end: the first row is the least recently used one.
    load.prefixes.delete(key);
    load.prefixes.set(key, known);
    return known;
  }
  const created: PrefixRow = {cachedAt: new Map(), reusedTokens: 0};
  load.prefixes.set(key, created);
  if (load.prefixes.size > maximumPrefixes) {
    load.prefixes.delete(load.prefixes.keys().next().value!);
  }
  return created;
}
