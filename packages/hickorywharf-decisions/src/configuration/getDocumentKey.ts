/**
 * Returns the key of a document: its kind and name.
 *
 * @example
 *     getDocumentKey('route', 'catalogue'); // 'route/catalogue'
 */
export function getDocumentKey(kind: string, name: string): string {
  return `${kind}/${name}`;
}
