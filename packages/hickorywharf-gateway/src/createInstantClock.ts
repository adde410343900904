import type {Instant} from 'hickorywharf-decisions/gateway/instant';
import type {Clock} from 'hickorywharf-utils/clock';

/**
 * Creates a function that reads the monotonic and the wall clock together.
 *
 * @example
 *     const getInstant = createInstantClock(createSystemClock());
 */
export function createInstantClock(clock: Clock): () => Instant {
  return () => ({monotonic: clock.monotonic(), wall: clock.wall()});
}
