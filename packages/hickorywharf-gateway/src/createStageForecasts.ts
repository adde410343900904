import {forecastStage} from 'hickorywharf-decisions/gateway/forecastStage';
import type {StageForecast} from 'hickorywharf-decisions/gateway/stageForecast';
import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {StageWaits} from 'hickorywharf-types/gateway/stageWaits';
import type {CallContext} from './callContext.ts';

/**
 * Forecasts the wait and the work of each stage of a call.
 *
 * @param getWaitEstimate wait estimate of a service; null counts as no wait
 * @param isOverShare whether the client account has more than its share of the
 *     room; null if the room is not shared
 * @returns one forecast for each stage, by its position
 * @example
 *     forecastCall(createStageForecasts(context, services, router.getWaitEstimate), 200);
 */
export function createStageForecasts(
  {call, route, priority}: CallContext,
  services: GatewayConfiguration['services'],
  getWaitEstimate: (service: string) => StageWaits | null,
  isOverShare: boolean | null = null,
): StageForecast[] {
  return route.stages.map(({service, after}, position) => {
    const isUsed = (call.pieces[position] ?? 0) > 0;
    const capacity = isUsed ? services.get(service)?.stage : null;
    const waits = isUsed ? getWaitEstimate(service) : null;
    return forecastStage({
      after,
      capacity: capacity ?? null,
      waits,
      priority,
      isOverShare,
    });
  });
}
