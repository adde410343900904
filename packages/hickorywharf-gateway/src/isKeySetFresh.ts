import type {Instant} from 'hickorywharf-decisions/gateway/instant';
import type {GatewaySettings} from 'hickorywharf-types/gateway/gatewaySettings';
import type {GatewayState} from './gatewayState.ts';

/** Keys go stale this long before a revocation has to be applied. */
const REVOCATION_MARGIN_MILLISECONDS = 500;

/**
 * Whether the store has confirmed the set of keys recently enough to run calls
 * that need one. It is checked before each send, as a call may have waited.
 *
 * @example
 *     isKeySetFresh(state, settings, getInstant()); // false if it is stale
 */
export function isKeySetFresh(
  state: GatewayState,
  settings: GatewaySettings,
  now: Instant,
): boolean {
  const limit = settings.revokeMilliseconds - REVOCATION_MARGIN_MILLISECONDS;
  return state.configurationFreshness.getAge(now) < limit;
}
