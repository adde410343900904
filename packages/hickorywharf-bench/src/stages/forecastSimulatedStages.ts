import {forecastStage} from 'hickorywharf-decisions/gateway/forecastStage';
import type {StageForecast} from 'hickorywharf-decisions/gateway/stageForecast';
import type {StageWaits} from 'hickorywharf-types/gateway/stageWaits';
import {getSimulatedInputs} from './getSimulatedInputs.ts';
import type {SimulatedRequest} from './simulatedRequest.ts';
import type {StageLoad} from './stageLoad.ts';

/**
 * Forecasts the stages of a simulated request.
 *
 * @param isOverShare whether its account is over its share; null if room is not
 *     shared
 * @example
 *     forecastSimulatedStages(load, request, () => null)[0]?.workMilliseconds;
 */
export function forecastSimulatedStages(
  load: StageLoad,
  request: SimulatedRequest,
  getWaits: (service: string) => Omit<StageWaits, 'service'> | null,
  isOverShare: boolean | null = null,
): StageForecast[] {
  const kind = load.kinds[request.kind]!;
  return kind.stages.map(({service}, stage) => {
    const isUsed = request.pieces[stage]! > 0;
    return forecastStage({
      after: getSimulatedInputs(kind, stage),
      capacity: isUsed ? load.services[service]! : null,
      waits: getWaits(service),
      priority: kind.priority,
      isOverShare,
    });
  });
}
