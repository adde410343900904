import {decideAdmission} from 'hickorywharf-decisions/gateway/decideAdmission';
import {forecastByShare} from 'hickorywharf-decisions/gateway/forecastByShare';
import {forecastCall} from 'hickorywharf-decisions/gateway/forecastCall';
import {getCallWork} from 'hickorywharf-decisions/gateway/getCallWork';
import type {StageWaits} from 'hickorywharf-types/gateway/stageWaits';
import {createSimulatedShares} from './createSimulatedShares.ts';
import {forecastSimulatedStages} from './forecastSimulatedStages.ts';
import type {SimulatedRequest} from './simulatedRequest.ts';
import type {StageLoad} from './stageLoad.ts';
import type {StagePolicy} from './stagePolicy.ts';

interface AdmissionOptions {
  readonly load: StageLoad;
  readonly policy: StagePolicy;
  readonly engineMilliseconds: number;
  getNow(): number;
  schedule(at: number, run: () => void): void;
  /** Whether the simulation has ended. */
  isOver(): boolean;
  getWaits(service: string): Omit<StageWaits, 'service'>;
  onAdmitted(request: SimulatedRequest): void;
  /** Called for a request that is refused and does not return. */
  onRefused(request: SimulatedRequest): void;
}

interface SimulatedAdmission {
  /** Admits a request, or refuses it until it returns. */
  arrive(request: SimulatedRequest): void;
  /** Starts the exchange of figures between the instances. */
  start(): void;
}

/**
 * Admits the requests of a load as the policy says, at the instances that they
 * arrive at, each of which counts the work of accounts by itself.
 *
 * @example
 *     const admission = createSimulatedAdmission(options);
 *     admission.arrive(request);
 */
export function createSimulatedAdmission(
  options: AdmissionOptions,
): SimulatedAdmission {
  const {load, policy, engineMilliseconds, getNow, schedule, isOver} = options;
  const {instances = 1} = load;
  const shares = createSimulatedShares(instances, getNow, schedule, isOver);

  function getWork(request: SimulatedRequest): number {
    const stages = load.kinds[request.kind]!.stages.map(({service}, stage) => ({
      pieces: request.pieces[stage]!,
      capacity: load.services[service]!,
    }));
    return getCallWork(stages, engineMilliseconds);
  }

  function decide(request: SimulatedRequest) {
    const {targetMilliseconds, deadlineMilliseconds, account} =
      load.kinds[request.kind]!;
    const age = getNow() - request.at;
    const targetLeftMilliseconds = targetMilliseconds - age;
    const getForecast = (isOverShare: boolean | null) =>
      forecastCall(
        forecastSimulatedStages(load, request, options.getWaits, isOverShare),
        engineMilliseconds,
      );
    const own = shares.get(request.instance);
    const forecast =
      policy.hasShares && account !== undefined
        ? forecastByShare({
            targetLeftMilliseconds,
            getForecast,
            getStanding: () => own.getStanding(account, getNow()),
          })
        : {...getForecast(null), overShareMilliseconds: 0};
    return decideAdmission({
      forecast,
      overShareMilliseconds: forecast.overShareMilliseconds,
      targetLeftMilliseconds,
      timeLeftMilliseconds: deadlineMilliseconds - age,
    });
  }

  function arrive(request: SimulatedRequest): void {
    const {account, retries, deadlineMilliseconds} = load.kinds[request.kind]!;
    const own = shares.get(request.instance);
    const admission = policy.hasAdmission ? decide(request) : null;
    if (admission?.tag !== 'refused') {
      if (account !== undefined) {
        request.endShare = own.startCall(account, getWork(request));
      }
      return options.onAdmitted(request);
    }
    if (account !== undefined) {
      own.recordRefusal(account, getWork(request), getNow());
    }
    const {most = 0, afterMilliseconds} = retries ?? {};
    const wait = afterMilliseconds ?? admission.retryAfterMilliseconds;
    const returnAt = getNow() + wait;
    const mayReturn =
      request.refusals < most && returnAt <= request.at + deadlineMilliseconds;
    request.refusals += 1;
    if (mayReturn) schedule(returnAt, () => arrive(request));
    else options.onRefused(request);
  }

  return {arrive, start: shares.exchange};
}
