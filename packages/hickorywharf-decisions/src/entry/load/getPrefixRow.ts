import {hashNumber} from 'hickorywharf-utils/hashNumber';
import type {EntryLoad} from './entryLoad.ts';
import {LOAD_LIMITS} from './loadLimits.ts';

type PrefixRow = ReturnType<EntryLoad['prefixes']['get']> & object;

/**
 * The row of the prefix that a text starts with, made where there is none;
 * null for a text too short to have one.
 *
 * @example
 *     getPrefixRow(state.load, request.input.text)?.reusedTokens;
 */
export function getPrefixRow(load: EntryLoad, text: string): PrefixRow | null {
  const {prefixCharacters, maximumPrefixes} = LOAD_LIMITS;
  if (text.length < prefixCharacters) return null;
  const key = hashNumber(text.slice(0, prefixCharacters));
  const known = load.prefixes.get(key);
  if (known !== undefined) {
    // The row used last goes to the end: the first is the one to forget.
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
