import {digest} from 'hickorywharf-utils/digest';

/** Bounds the work for one call; prompts have a few parts. */
const MAXIMUM_PARTS = 64;
/** Longer ids are replaced by a digest, which bounds the memory for ids. */
const MAXIMUM_ID_CHARACTERS = 64;

/**
 * The distinct parts of a prompt that other calls may have too, which are all
 * but the last one.
 *
 * @param parts the parts in order
 * @example
 *     listSharedParts([{id: 'a'}, {id: 'b'}, {id: 'c'}]); // ['a', 'b']
 */
export function listSharedParts(
  parts: ReadonlyArray<{readonly id: string}>,
): readonly string[] {
  if (parts.length < 2) return [];
  const ids = parts
    .slice(0, -1)
    .slice(0, MAXIMUM_PARTS)
    .map(({id}) => (id.length > MAXIMUM_ID_CHARACTERS ? digest(id) : id))
    .filter((id) => id !== '');
  return [...new Set(ids)];
}
