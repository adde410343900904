import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {SerializedConfiguration} from 'hickorywharf-types/gateway/serializedConfiguration';

/**
 * Converts a configuration to the form that peers exchange, with lists in place
 * of maps.
 *
 * @example
 *     deserializeConfiguration(serializeConfiguration(configuration));
 */
export function serializeConfiguration({
  services,
  accountsByKey,
  ...rest
}: GatewayConfiguration): SerializedConfiguration {
  return {
    ...rest,
    services: [...services.values()],
    accounts: accountsByKey && [...accountsByKey],
  };
}
