import type {Instant} from 'hickorywharf-decisions/gateway/instant';
import type {GatewaySettings} from 'hickorywharf-types/gateway/gatewaySettings';
import type {GatewayState} from './gatewayState.ts';

/**
 * Whether the configuration of this instance may decide requests. It may not
 * once a newer one is known to exist and may have been accepted longer ago than
 * a configuration may take to be active. While none is known to exist, an
 * outage of the store does not outdate the configuration.
 *
 * @example
 *     isConfigurationCurrent(state, settings, getInstant()); // false if outdated
 */
export function isConfigurationCurrent(
  state: GatewayState,
  settings: Pick<GatewaySettings, 'applyMilliseconds'>,
  now: Instant,
): boolean {
  const version = state.configuration?.version ?? -1;
  if (state.newestVersion <= version) return true;
  return state.configurationFreshness.getAge(now) < settings.applyMilliseconds;
}
