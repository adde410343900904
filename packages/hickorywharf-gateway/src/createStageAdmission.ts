import {decideAdmission} from 'hickorywharf-decisions/gateway/decideAdmission';
import {forecastCall} from 'hickorywharf-decisions/gateway/forecastCall';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {createAccountShares} from './createAccountShares.ts';
import type {CallContext} from './callContext.ts';
import type {createEndpointLimiter} from './createEndpointLimiter.ts';
import type {createEngineWork} from './createEngineWork.ts';
import {createStageForecasts} from './createStageForecasts.ts';
import type {GatewayState} from './gatewayState.ts';
import type {StageRouter} from './stageRouter.ts';

interface AdmissionOptions {
  readonly state: GatewayState;
  readonly limiter: ReturnType<typeof createEndpointLimiter>;
  readonly engines: ReturnType<typeof createEngineWork>;
  readonly router: StageRouter;
  readonly accountShares: ReturnType<typeof createAccountShares>;
  /** Monotonic milliseconds. */
  now(): number;
}

interface StageDemand {
  /** The endpoints that may run the call after its stages. */
  readonly endpoints: readonly GatewayEndpoint[];
  /** Only the first run of the stages may be refused. */
  readonly isFirstRun: boolean;
}

type StageAdmission =
  | {
      readonly tag: 'admitted';
      /** Expected time until all stages have ended. */
      readonly stageMilliseconds: number;
    }
  | {
      readonly tag: 'refused';
      readonly message: string;
      readonly retryAfterMilliseconds: number;
    };

/**
 * Admits calls to their stages by one forecast of the stages' waits, of the
 * limits of the endpoints that run the calls afterwards, and of what these have
 * to do.
 *
 * @example
 *     const admitToStages = createStageAdmission(options);
 *     admitToStages(context, {endpoints, isFirstRun: true}).tag; // 'admitted'
 */
export function createStageAdmission(
  options: AdmissionOptions,
): (context: CallContext, demand: StageDemand) => StageAdmission {
  const {state, limiter, engines, router, accountShares, now} = options;
  return (context, {endpoints, isFirstRun}) => {
    const {call, service, targetAt, firstEventDeadlineAt} = context;
    const {services} = state.configuration!;
    const time = now();
    const engineMilliseconds = engines.estimateFirstEvent(call, endpoints);
    const stages = accountShares.forecast(context, (isOverShare) =>
      forecastCall(
        createStageForecasts(
          context,
          services,
          router.getWaitEstimate,
          isOverShare,
        ),
        engineMilliseconds,
      ),
    );
    let expected = stages.totalMilliseconds;
    if (isFirstRun) {
      const limited =
        limiter.estimateWait(service.name, endpoints) + engineMilliseconds;
      const forecast = {
        timelyMilliseconds: Math.max(stages.timelyMilliseconds, limited),
        totalMilliseconds: Math.max(stages.totalMilliseconds, limited),
      };
      const admission = decideAdmission({
        forecast,
        overShareMilliseconds: stages.overShareMilliseconds,
        targetLeftMilliseconds: targetAt - time,
        timeLeftMilliseconds: firstEventDeadlineAt - time,
      });
      if (admission.tag === 'refused') {
        const retryAfterMilliseconds = accountShares.refuse(
          context,
          admission.retryAfterMilliseconds,
        );
        const milliseconds = Math.round(forecast.totalMilliseconds);
        const message = `about ${milliseconds} ms of work ahead`;
        return {tag: 'refused', message, retryAfterMilliseconds};
      }
      if (admission.tag === 'timely') expected = stages.timelyMilliseconds;
      accountShares.startCall(context);
    }
    return {
      tag: 'admitted',
      stageMilliseconds: expected - engineMilliseconds,
    };
  };
}
