interface StatusLineFinder {
  /**
   * Adds bytes. Returns those before a status line, without those that are held
   * back: from a status line on, or those with which one may begin.
   */
  append(chunk: Buffer): Buffer;
  /** Whether a status line was found. */
  isFound(): boolean;
  /** Bytes at the end with which a status line may begin. */
  getRemainder(): Buffer;
  /** All bytes that are held back, those from a status line on included. */
  getHeld(): Buffer;
}

const EMPTY = Buffer.alloc(0);
/** Bytes from a status line on that are held back; beyond, all are returned. */
const MAXIMUM_HELD_BYTES = 65_536;
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
  let held: Buffer[] = [];
  let heldBytes = 0;
  let isFound = false;

  function hold(bytes: Buffer): void {
    if (bytes.length === 0) return;
    held.push(Buffer.from(bytes));
    heldBytes += bytes.length;
  }

  const getHeld = (): Buffer =>
    held.length === 0 ? EMPTY : Buffer.concat(held);

  function take(): Buffer {
    const bytes = getHeld();
    held = [];
    heldBytes = 0;
    return bytes;
  }

  return {
    append(chunk) {
      if (isFound) {
        hold(chunk);
        return heldBytes > MAXIMUM_HELD_BYTES ? take() : EMPTY;
      }
      const bytes = held.length === 0 ? chunk : Buffer.concat([take(), chunk]);
      const text = bytes.toString('latin1');
      const start = STATUS_LINE.exec(text)?.index;
      isFound = start !== undefined;
      const end =
        start ?? UNFINISHED_STATUS_LINE.exec(text)?.index ?? text.length;
      hold(bytes.subarray(end));
      return bytes.subarray(0, end);
    },
    isFound: () => isFound,
    getRemainder: () => (isFound ? EMPTY : getHeld()),
    getHeld,
  };
}
