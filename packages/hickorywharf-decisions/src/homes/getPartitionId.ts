/**
 * Names a part of a pool's key space, for one half or for shared requests.
 *
 * @example
 *     getPartitionId({pool: 'desks', half: null, part: 3}); // 'desks//3'
 */
export function getPartitionId(place: {
  readonly pool: string;
  readonly half: string | null;
  readonly part: number;
}): string {
  return `${place.pool}/${place.half ?? ''}/${place.part}`;
}
