import type {Instant} from 'hickorywharf-decisions/gateway/instant';
import type {EvacuationReport} from 'hickorywharf-types/gateway/evacuationReport';
import type {GatewayState} from './gatewayState.ts';

/**
 * What an instance tells its peers of the orders to evacuate, with the age since
 * the store confirmed them. Empty before the first list, which says nothing, and
 * where the settings know of no evacuations.
 *
 * @example
 *     reportEvacuations(state, now).evacuations?.failureDomains; // ['a']
 */
export function reportEvacuations(
  state: GatewayState,
  now: Instant,
): {readonly evacuations?: EvacuationReport} {
  const ageMilliseconds = state.evacuationFreshness.getAge(now);
  if (state.evacuations === null || ageMilliseconds === Infinity) return {};
  const failureDomains = state.evacuations.list();
  return {evacuations: {failureDomains, ageMilliseconds}};
}
