import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {PackedConfiguration} from 'hickorywharf-types/gateway/packedConfiguration';

/**
 * Reads the form in which a configuration came from another instance.
 *
 * @example
 *     unpackConfiguration(packConfiguration(configuration));
 */
export function unpackConfiguration({
  services,
  accounts,
  ...rest
}: PackedConfiguration): GatewayConfiguration {
  return {
    ...rest,
    services: new Map(services.map((service) => [service.name, service])),
    accountsByKey: accounts && new Map(accounts),
  };
}
