import {forecastStage} from 'hickorywharf-decisions/gateway/forecastStage';
import type {StageForecast} from 'hickorywharf-decisions/gateway/stageForecast';
import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {StageWaits} from 'hickorywharf-types/gateway/stageWaits';
import type {CallContext} from './callContext.ts';

/**
 * What is expected of the stages of a call by what waits at their services.
 *
 * @param getWaits gives null where nothing is to be thought to wait
 * @example
 *     forecastCall(describeStages(context, services, router.getWaits), 200);
 */
export function createStageForecasts(
  {call, route, priority}: CallContext,
  services: GatewayConfiguration['services'],
  getWaits: (service: string) => StageWaits | null,
): StageForecast[] {
  return route.stages.map(({service, after}, position) => {
    const isUsed = (call.pieces[position] ?? 0) > 0;
    const capacity = isUsed ? services.get(service)?.stage : null;
    const waits = isUsed ? getWaits(service) : null;
    return forecastStage({after, capacity: capacity ?? null, waits, priority});
  });
}
