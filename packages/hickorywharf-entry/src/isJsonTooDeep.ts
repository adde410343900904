const MAXIMUM_DEPTH = 64;

/**
 * Whether a JSON text is nested deeper than the maximum depth. Brackets inside
 * strings do not count.
 *
 * @example
 *     isJsonTooDeep('['.repeat(100)); // true
 */
export function isJsonTooDeep(json: string): boolean {
  let depth = 0;
  let inString = false;
  for (let index = 0; index < json.length; index += 1) {
    const character = json[index];
    if (inString) {
      if (character === '\\') index += 1;
      else if (character === '"') inString = false;
      continue;
    }
    if (character === '"') inString = true;
    if (character === '[' || character === '{') depth += 1;
    if (character === ']' || character === '}') depth -= 1;
    if (depth > MAXIMUM_DEPTH) return true;
  }
  return false;
}
