import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {SerializedConfiguration} from 'hickorywharf-types/gateway/serializedConfiguration';

/**
 * Converts a configuration from the form that peers exchange, with maps in
 * place of lists.
 *
 * @example
 *     deserializeConfiguration(serializeConfiguration(configuration));
 */
export function deserializeConfiguration({
  services,
  accounts,
  ...rest
}: SerializedConfiguration): GatewayConfiguration {
  return {
    ...rest,
    services: new Map(services.map((service) => [service.name, service])),
    accountsByKey: accounts && new Map(accounts),
  };
}
