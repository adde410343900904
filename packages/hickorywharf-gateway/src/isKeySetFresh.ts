import type {Instant} from 'hickorywharf-decisions/gateway/instant';
import type {GatewaySettings} from 'hickorywharf-types/gateway/gatewaySettings';
import type {GatewayState} from './gatewayState.ts';

/** A call with a key stops this long before a revocation would bind. */
const REVOCATION_MARGIN_MILLISECONDS = 500;

/**
 * Whether the store has confirmed the keys recently enough to run calls that
 * carry one. It is asked again at each send, as a call may have waited.
 *
 * @example
 *     isKeySetFresh(state, settings, now) || refuse();
 */
export function isKeySetFresh(
  state: GatewayState,
  settings: GatewaySettings,
  now: Instant,
): boolean {
  const limit = settings.revokeMilliseconds - REVOCATION_MARGIN_MILLISECONDS;
  return state.configurationFreshness.getAge(now) < limit;
}
