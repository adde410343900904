import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';

/**
 * Builds the HTTP request of a stage call, without its handlers.
 *
 * @example
 *     endpointClient.send({...buildStageRequest(wire, endpoint, wire.stageRun, body), ...handlers});
 */
export function buildStageRequest(
  wire: GatewayWireFormat,
  endpoint: GatewayEndpoint,
  {method, path}: GatewayWireFormat['stageRun'],
  body: string,
) {
  const {id, host, port} = endpoint;
  const bytes = Buffer.byteLength(body);
  const headers = wire.formatStageHeaders(id, `${host}:${port}`, bytes);
  return {
    host,
    port,
    method,
    path,
    requestId: null,
    headers,
    body,
    needsNewConnection: false,
    isExclusive: false,
  };
}
