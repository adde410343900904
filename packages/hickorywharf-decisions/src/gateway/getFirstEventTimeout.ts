import type {GatewayRoute} from 'hickorywharf-types/gateway/gatewayRoute';

/**
 * Callers abandon a stream after a pause of this time, of the multiple of their
 * target, or of the multiple of the longest timely pause, whichever is longest.
 */
const MINIMUM_MILLISECONDS = 2000;
const TARGET_FACTOR = 4;
const GAP_TARGET_FACTOR = 8;

/**
 * Returns how long a caller waits for the first event of a stream, which may be
 * shorter than the call's timeout; Infinity for a route without a target for
 * pauses.
 *
 * Designed for bursts after which calls wait for their stages. Work for a call
 * whose caller will have left by its first event is given to others, and the
 * caller is told at once.
 *
 * @returns milliseconds since the arrival of the call
 * @example
 *     getFirstEventTimeout({kind: 'stream', targetMilliseconds: 935, gapTargetMilliseconds: 250}); // 3740
 */
export function getFirstEventTimeout(
  route: Pick<
    GatewayRoute,
    'kind' | 'targetMilliseconds' | 'gapTargetMilliseconds'
  >,
): number {
  const {kind, targetMilliseconds, gapTargetMilliseconds} = route;
  if (kind !== 'stream' || gapTargetMilliseconds === undefined) return Infinity;
  return Math.max(
    MINIMUM_MILLISECONDS,
    targetMilliseconds * TARGET_FACTOR,
    gapTargetMilliseconds * GAP_TARGET_FACTOR,
  );
}
