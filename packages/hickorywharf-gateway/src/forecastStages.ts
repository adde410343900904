import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {CallContext} from './callContext.ts';
import {getStageTime} from './getStageTime.ts';
import {getTimesAfter} from './getTimesAfter.ts';
import type {StageRouter} from './stageRouter.ts';

interface StageForecast {
  readonly timelyMilliseconds: number;
  readonly totalMilliseconds: number;
}

/**
 * How long a call takes from now to its first event, by what waits at the
 * services of its stages: with timely work before it, and behind all work.
 *
 * @example
 *     const {timelyMilliseconds} = forecastStages(context, services, router);
 */
export function forecastStages(
  context: CallContext,
  services: GatewayConfiguration['services'],
  router: StageRouter,
): StageForecast {
  const {call, route, priority} = context;
  const timesAfter = getTimesAfter(context, services);
  const waitsBefore: Array<{timely: number; total: number}> = [];
  const forecast = {timelyMilliseconds: 0, totalMilliseconds: 0};
  route.stages.forEach(({service: name, after}, position) => {
    const before = after.map((earlier) => waitsBefore[earlier]!);
    const timelyBefore = Math.max(0, ...before.map(({timely}) => timely));
    const totalBefore = Math.max(0, ...before.map(({total}) => total));
    const isUsed = (call.pieces[position] ?? 0) > 0;
    const waits = isUsed ? router.getWaits(name) : null;
    const byPriority = waits?.timelyMilliseconds ?? [];
    const timelyWait =
      byPriority[Math.min(priority, byPriority.length - 1)] ?? 0;
    const timely = timelyBefore + timelyWait;
    const total = totalBefore + (waits?.totalMilliseconds ?? 0);
    waitsBefore[position] = {timely, total};
    if (!isUsed) return;
    const own = getStageTime(services.get(name)) + timesAfter[position]!;
    const earlier = after.reduce(
      (sum, stage) =>
        sum + getStageTime(services.get(route.stages[stage]!.service)),
      0,
    );
    forecast.timelyMilliseconds = Math.max(
      forecast.timelyMilliseconds,
      timely + own + earlier,
    );
    forecast.totalMilliseconds = Math.max(
      forecast.totalMilliseconds,
      total + own + earlier,
    );
  });
  return forecast;
}
