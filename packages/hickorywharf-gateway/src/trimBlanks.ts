const isBlank = (character: string | undefined): boolean =>
  character === ' ' || character === '\t';

/**
 * Removes the spaces and tabs around a header value. `String.trim` would also
 * remove characters that belong to the value, such as no-break spaces.
 *
 * @example
 *     trimBlanks(' \tgzip '); // 'gzip'
 */
export function trimBlanks(text: string): string {
  let start = 0;
  let end = text.length;
  while (start < end && isBlank(text[start])) start += 1;
  while (end > start && isBlank(text[end - 1])) end -= 1;
  return text.slice(start, end);
}
