import {createFairShares} from 'hickorywharf-decisions/gateway/createFairShares';
import {estimateEngineTime} from 'hickorywharf-decisions/gateway/estimateEngineTime';
import {forecastByShare} from 'hickorywharf-decisions/gateway/forecastByShare';
import type {forecastCall} from 'hickorywharf-decisions/gateway/forecastCall';
import {getCallWork} from 'hickorywharf-decisions/gateway/getCallWork';
import {spreadRetryDelay} from 'hickorywharf-decisions/gateway/spreadRetryDelay';
import type {AccountWorkReport} from 'hickorywharf-types/gateway/accountWorkReport';
import type {CallContext} from './callContext.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import type {GatewayState} from './gatewayState.ts';

type CallForecast = ReturnType<typeof forecastCall>;

interface SharesOptions {
  readonly state: GatewayState;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  /** Monotonic milliseconds. */
  now(): number;
}

/** Nothing of it has an effect on a call that needs no key. */
interface AccountShares {
  /**
   * The forecast of a call by how its account stands, if room is short; else
   * the forecast without accounts.
   *
   * @param getForecast the forecast for an account that is over its share, or
   *     is not; null for the forecast without accounts
   */
  forecast(
    context: CallContext,
    getForecast: (isOverShare: boolean | null) => CallForecast,
  ): ReturnType<typeof forecastByShare>;
  /** Counts the work of an admitted call until it ends. */
  startCall(context: CallContext): void;
  /**
   * Counts the work of a call that is refused for lack of room, and returns the
   * time after which its caller may return.
   */
  refuse(context: CallContext, retryAfterMilliseconds: number): number;
  /** Fields of the heartbeats to peers that this instance connected to. */
  createReportFields(): {readonly accountWork?: AccountWorkReport};
  /** Fields of the frames to peers that connected to this instance. */
  createSumFields(): {readonly accountWork?: AccountWorkReport};
  /** Records what a frame of a peer tells. */
  recordFrame(
    peer: string,
    frame: {
      readonly tag: 'heartbeat' | 'stageWaits';
      readonly accountWork?: AccountWorkReport;
    },
  ): void;
}

function toFields(accountWork: AccountWorkReport | null) {
  return accountWork === null ? {} : {accountWork};
}

/**
 * Keeps the work of the calls of each client account, and shares the room for
 * stages among the accounts while it is short.
 *
 * @example
 *     const accountShares = createAccountShares(options);
 *     accountShares.startCall(context);
 */
export function createAccountShares(options: SharesOptions): AccountShares {
  const {state, log, metrics, now} = options;
  const shares = createFairShares();

  function getWork({call, route}: CallContext): number {
    const services = state.configuration!.services;
    return getCallWork(
      route.stages.map(({service}, position) => ({
        pieces: call.pieces[position] ?? 0,
        capacity: services.get(service)?.stage ?? null,
      })),
      estimateEngineTime(call.promptTokens),
    );
  }

  function getStanding({call}: CallContext, account: string) {
    const standing = shares.getStanding(account, now());
    const {isOver, workMilliseconds, shareMilliseconds} = standing;
    metrics.count('accountShares', isOver ? 'over' : 'within');
    if (isOver) {
      log.infoRateLimited('account over its share', {
        requestId: call.id,
        step: 'admit',
        account,
        work: Math.round(workMilliseconds),
        share: Math.round(shareMilliseconds),
        instances: standing.instances,
        age: Math.round(standing.ageMilliseconds),
      });
    }
    return standing;
  }

  return {
    forecast(context, getForecast) {
      const {account, targetAt} = context;
      if (account === null) {
        return {...getForecast(null), overShareMilliseconds: 0};
      }
      return forecastByShare({
        targetLeftMilliseconds: targetAt - now(),
        getForecast,
        getStanding: () => getStanding(context, account),
      });
    },
    startCall(context) {
      if (context.account === null || context.isEnded) return;
      const end = shares.startCall(context.account, getWork(context));
      context.cleanups.add(end);
    },
    refuse(context, retryAfterMilliseconds) {
      const {account, call, deadlineAt} = context;
      if (account === null) return retryAfterMilliseconds;
      metrics.count('accountShares', 'refused');
      shares.recordRefusal(account, getWork(context), now());
      const timeLeft = deadlineAt - now();
      return spreadRetryDelay(retryAfterMilliseconds, timeLeft, call.id);
    },
    createReportFields: () => toFields(shares.createReport(now())),
    createSumFields: () => toFields(shares.createSum(now())),
    recordFrame(peer, {tag, accountWork}) {
      if (accountWork === undefined) return;
      if (tag === 'heartbeat') shares.recordReport(peer, accountWork, now());
      else shares.recordSum(peer, accountWork, now());
    },
  };
}
