import type {GatewayService} from 'hickorywharf-types/gateway/gatewayService';

/** A group waits about a third of a call for its turn. */
const TURN_SHARE = 1.3;

/**
 * How long a stage takes from its order, in milliseconds, where nothing is
 * overloaded.
 *
 * @example
 *     getStageTime(services.get('scan'));
 */
export function getStageTime(service: GatewayService | undefined): number {
  if (service === undefined || service.stage === null) return 0;
  const {callMilliseconds, pieceMilliseconds, batch} = service.stage;
  return callMilliseconds * TURN_SHARE + batch * pieceMilliseconds;
}
