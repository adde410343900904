import {hashNumber} from './hashNumber.ts';

/**
 * Orders names by rendezvous (highest random weight) hashing for a key. All
 * processes with the same names get the same order. When a name is added or
 * removed, only the keys that it owns, being first in their order, get another
 * owner.
 *
 * @example
 *     const [owner] = orderByRendezvous('desks//3', ['desk-1', 'desk-2']);
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
