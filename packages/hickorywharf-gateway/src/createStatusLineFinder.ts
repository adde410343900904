interface StatusLineFinder {
  /** Adds bytes. Returns those that cannot belong to a status line. */
  append(chunk: Buffer): Buffer;
  /** Whether a status line was found; what follows it is dropped. */
  isFound(): boolean;
  /** Bytes at the end with which a status line may begin. */
  getRemainder(): Buffer;
}

const EMPTY = Buffer.alloc(0);
/** Patterns of the characters of a status line, up to the status. */
const CHARACTERS: readonly string[] = [
  ...['H', 'T', 'T', 'P', '/', '1', '\\.', '[01]', ' '],
  ...['[1-5]', '\\d', '\\d', '[ \\r]'],
];
const STATUS_LINE = new RegExp(CHARACTERS.join(''));
/** The start of a status line at the end of a text. */
const UNFINISHED_STATUS_LINE = new RegExp(
  CHARACTERS.slice(0, -1).reduceRight(
    (rest, character) => `${character}(?:${rest})?`,
  ) + '$',
);

/**
 * Finds the status line of an HTTP/1.1 response anywhere in a body, also if it
 * arrives in several chunks.
 *
 * @example
 *     const finder = createStatusLineFinder();
 *     finder.append(Buffer.from('bodyHTTP/1.1 200 OK')); // 'body'
 *     finder.isFound(); // true
 */
export function createStatusLineFinder(): StatusLineFinder {
  let remainder: Buffer = EMPTY;
  let isFound = false;
  return {
    append(chunk) {
      if (isFound) return EMPTY;
      const bytes =
        remainder.length === 0 ? chunk : Buffer.concat([remainder, chunk]);
      const text = bytes.toString('latin1');
      const start = STATUS_LINE.exec(text)?.index;
      isFound = start !== undefined;
      const end =
        start ?? UNFINISHED_STATUS_LINE.exec(text)?.index ?? text.length;
      remainder = isFound ? EMPTY : Buffer.from(bytes.subarray(end));
      return bytes.subarray(0, end);
    },
    isFound: () => isFound,
    getRemainder: () => remainder,
  };
}
