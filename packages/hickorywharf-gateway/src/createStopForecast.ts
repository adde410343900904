import {canFinishBeforeStop} from 'hickorywharf-decisions/gateway/canFinishBeforeStop';
import {createResponseTimes} from 'hickorywharf-decisions/gateway/createResponseTimes';
import {isWaitOverdue} from 'hickorywharf-decisions/gateway/isWaitOverdue';
import type {CallContext} from './callContext.ts';
import type {GatewayState} from './gatewayState.ts';

interface ForecastOptions {
  readonly state: Pick<GatewayState, 'stoppedAt' | 'endsAt'>;
  /** Monotonic milliseconds. */
  now(): number;
}

interface StopForecast {
  /** Records how long a whole response took from the send of its call. */
  recordResponse(context: CallContext, milliseconds: number): void;
  /** Notes which of the calls that were not sent are overdue. */
  recordWaits(contexts: Iterable<CallContext>): void;
  /** Whether a call that was not sent can finish before this instance ends. */
  canFinish(context: CallContext): boolean;
}

/**
 * Forecasts whether calls can finish before an instance that stops ends. A call
 * that may not be repeated has to have time for the longest recent response of
 * its route, others for the usual one.
 *
 * @example
 *     const stopForecast = createStopForecast({state, now});
 *     if (!stopForecast.canFinish(context)) refuse(STOPPING_REFUSAL);
 */
export function createStopForecast(options: ForecastOptions): StopForecast {
  const {state, now} = options;
  const responseTimes = createResponseTimes();
  let overdueRoutes = new Set<string>();

  /** Null for a body: what arrives slowly here does so elsewhere. */
  function getWait({wait}: CallContext) {
    return wait === null || wait.reason === 'body' ? null : wait;
  }

  return {
    recordResponse({route}, milliseconds) {
      responseTimes.record(route.name, milliseconds);
    },
    recordWaits(contexts) {
      const time = now();
      overdueRoutes = new Set();
      for (const context of contexts) {
        const wait = getWait(context);
        if (wait === null) continue;
        const waited = time - wait.startedAt;
        if (isWaitOverdue(waited, wait.expectedMilliseconds)) {
          overdueRoutes.add(context.route.name);
        }
      }
    },
    canFinish(context) {
      if (state.endsAt === Infinity) return true;
      const {route, arrivedAt, deadlineAt, isRetryable} = context;
      const time = now();
      const wait = getWait(context);
      const known = isRetryable
        ? responseTimes.getUsual(route.name)
        : responseTimes.getLongest(route.name);
      return canFinishBeforeStop({
        graceLeftMilliseconds: state.endsAt - time,
        timeLeftMilliseconds: deadlineAt - time,
        isNew: arrivedAt >= state.stoppedAt,
        // A call that waits for nothing is not held up by what others wait for.
        isRouteOverdue: wait !== null && overdueRoutes.has(route.name),
        waitedMilliseconds: wait === null ? 0 : time - wait.startedAt,
        expectedWaitMilliseconds: wait?.expectedMilliseconds ?? 0,
        responseMilliseconds: known ?? route.targetMilliseconds,
      });
    },
  };
}
