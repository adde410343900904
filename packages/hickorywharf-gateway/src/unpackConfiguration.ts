import {inflateRawSync} from 'node:zlib';
import {frameChecks} from 'hickorywharf-transport/frameChecks';
import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {SerializedConfiguration} from 'hickorywharf-types/gateway/serializedConfiguration';
import {err, ok, type Result} from 'neverthrow';
import {deserializeConfiguration} from './deserializeConfiguration.ts';

/** Bounds the memory for the content of a broken or hostile peer. */
const MAXIMUM_BYTES = 16 * 1024 * 1024;

/**
 * Restores a configuration that `packConfiguration` compressed.
 *
 * @returns the configuration, or what is wrong with the content
 * @example
 *     unpackConfiguration(content).map(({version}) => version);
 */
export function unpackConfiguration(
  content: Uint8Array,
): Result<GatewayConfiguration, string> {
  try {
    const text = inflateRawSync(content, {maxOutputLength: MAXIMUM_BYTES});
    const value: unknown = JSON.parse(text.toString());
    return frameChecks.isPackedConfiguration(value)
      ? ok(deserializeConfiguration(value as SerializedConfiguration))
      : err('the content is no configuration');
  } catch (error) {
    return err((error as Error).message);
  }
}
