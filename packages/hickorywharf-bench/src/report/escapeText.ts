const ENTITIES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
};

/**
 * Makes a text safe inside HTML or SVG.
 *
 * @example
 *     escapeText('a < b'); // 'a &lt; b'
 */
export function escapeText(text: string): string {
  return text.replace(/[&<>"]/g, (character) => ENTITIES[character]!);
}
