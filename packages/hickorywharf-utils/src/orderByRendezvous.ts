import {hashNumber} from './hashNumber.ts';

/**
 * Orders names by rendezvous (highest random weight) hashing for a key. Every
 * process that knows the same names gets the same order, and a name that comes
 * or goes moves only the keys that it owns.
 *
 * @example
 *     const [owner] = orderByRendezvous('part-3', ['desk-1', 'desk-2']);
 */
export function orderByRendezvous(
  key: string,
  names: Iterable<string>,
): string[] {
  const weighted = Array.from(names, (name) => ({
    name,
    weight: hashNumber(`${key}/${name}`),
  }));
  weighted.sort(
    (left, right) =>
      right.weight - left.weight || (left.name < right.name ? -1 : 1),
  );
  return weighted.map(({name}) => name);
}
