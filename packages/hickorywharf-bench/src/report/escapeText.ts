const ENTITIES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
};

/**
 * Escapes a text for HTML or SVG.
 *
 * @example
 *     escapeText('a < b'); // 'a &lt; b'
 */
export function escapeText(text: string): string {
  return text.replace(/[&<>"]/g, (character) => ENTITIES[character]!);
}
