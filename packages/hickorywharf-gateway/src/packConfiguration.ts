import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {PackedConfiguration} from 'hickorywharf-types/gateway/packedConfiguration';

/**
 * Makes the form in which a configuration goes to another instance.
 *
 * @example
 *     unpackConfiguration(packConfiguration(configuration));
 */
export function packConfiguration({
  services,
  accountsByKey,
  ...rest
}: GatewayConfiguration): PackedConfiguration {
  return {
    ...rest,
    services: [...services.values()],
    accounts: accountsByKey && [...accountsByKey],
  };
}
