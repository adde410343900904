import {constants, deflateRawSync} from 'node:zlib';
import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import {serializeConfiguration} from './serializeConfiguration.ts';

/**
 * Compresses a configuration for peers. The best speed is chosen, as the
 * instance serves no request meanwhile.
 *
 * @example
 *     unpackConfiguration(packConfiguration(configuration));
 */
export function packConfiguration(configuration: GatewayConfiguration): Buffer {
  const text = JSON.stringify(serializeConfiguration(configuration));
  return deflateRawSync(text, {level: constants.Z_BEST_SPEED});
}
