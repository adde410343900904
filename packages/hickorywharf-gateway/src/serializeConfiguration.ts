import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {SerializedConfiguration} from 'hickorywharf-types/gateway/serializedConfiguration';

/**
 * Makes the form in which a configuration goes to another instance.
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
