/**
 * Returns the key of a configuration document and of the record parsed from it:
 * its kind and name.
 *
 * @example
 *     getDocumentKey('route', 'catalogue'); // 'route/catalogue'
 */
export function getDocumentKey(kind: string, name: string): string {
  return `${kind}/${name}`;
}
