import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewayWire} from 'hickorywharf-types/gateway/gatewayWire';

/**
 * The request of a call for stage work, as the channels take it.
 *
 * @example
 *     channels.send({...describeStageCall(wire, endpoint, wire.stageRun, body), ...handlers});
 */
export function describeStageCall(
  wire: GatewayWire,
  endpoint: GatewayEndpoint,
  {method, path}: GatewayWire['stageRun'],
  body: string,
) {
  const {id, host, port} = endpoint;
  const bytes = Buffer.byteLength(body);
  const headers = wire.writeStageHeaders(id, `${host}:${port}`, bytes);
  return {host, port, method, path, headers, body, needsNewConnection: false};
}
