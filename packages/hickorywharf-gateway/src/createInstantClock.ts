import type {Instant} from 'hickorywharf-decisions/gateway/instant';
import type {Clock} from 'hickorywharf-utils/clock';

/**
 * Reads both clocks as one moment.
 *
 * @example
 *     const getInstant = createInstantClock(createSystemClock());
 */
export function createInstantClock(clock: Clock): () => Instant {
  return () => ({monotonic: clock.monotonic(), wall: clock.wall()});
}
