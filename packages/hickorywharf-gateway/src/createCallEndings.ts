import {isRequestName} from 'hickorywharf-decisions/gateway/isRequestName';
import type {CallContext} from './callContext.ts';
import type {CallFailure} from './callFailure.ts';
import type {createEndpointLimiter} from './createEndpointLimiter.ts';
import type {createEndpointSelector} from './createEndpointSelector.ts';
import type {createInstantClock} from './createInstantClock.ts';
import type {createQuarantineSync} from './createQuarantineSync.ts';
import type {createResponseWriter} from './createResponseWriter.ts';
import type {createRunRecord} from './createRunRecord.ts';
import type {createStopForecast} from './createStopForecast.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import {NO_ENDPOINT_RETRY_MILLISECONDS} from './noEndpointRetryMilliseconds.ts';
import type {Refusal} from './refusal.ts';
import {STOPPING_REFUSAL} from './stoppingRefusal.ts';

type Quarantine = ReturnType<typeof createQuarantineSync>;

interface CallEndingsOptions {
  readonly context: CallContext;
  /** Writes the response to the caller. */
  readonly writer: ReturnType<typeof createResponseWriter>;
  readonly runs: ReturnType<typeof createRunRecord>;
  readonly selector: ReturnType<typeof createEndpointSelector>;
  readonly limiter: ReturnType<typeof createEndpointLimiter>;
  readonly quarantine: Quarantine;
  readonly quarantinedCall: Parameters<Quarantine['check']>[0];
  readonly stopForecast: ReturnType<typeof createStopForecast>;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  readonly getInstant: ReturnType<typeof createInstantClock>;
  getSends(): number;
}

interface CallEndings {
  /** Logs and counts what became of the call. */
  recordOutcome(outcome: string, fields: Record<string, unknown>): void;
  refuse(refusal: Refusal): void;
  /** Refuses a call that was not run, as there is no room for it. */
  refuseOverloaded(message: string, waitMilliseconds: number): void;
  /** Ends the call with an error when no further attempt is possible. */
  fail(failure: CallFailure, reason: string): void;
  /** Ends the call because no endpoint is left that may run it. */
  failWithoutEndpoint(): void;
  /** Ends the call because the endpoints take no more calls for now. */
  failForLimits(waitMilliseconds: number): void;
  /**
   * Ends a call that is quarantined, or a part of its prompt. False if the call
   * may go on; with `isSend`, if it may be sent now.
   */
  refuseQuarantined(isSend: boolean): boolean;
  /**
   * Ends a call under which endpoints have just ended, if one is left for all
   * others. False if the call may go on.
   */
  refuseLastEndpoint(): boolean;
  /**
   * Ends a call that can't finish before this instance does, unless its response
   * has started. False if the call may go on.
   */
  refuseForStop(): boolean;
}

/**
 * Creates the ways in which one call ends without a whole answer. Each writes
 * the response: a refusal if the call did not run, else an error; a response
 * that has started is broken off.
 *
 * @example
 *     const endings = createCallEndings(options);
 *     endings.fail('budget', 'the budget of repeats is used up');
 */
export function createCallEndings(options: CallEndingsOptions): CallEndings {
  const {context, writer, runs, selector, limiter, quarantine} = options;
  const {quarantinedCall, stopForecast, log, metrics, getInstant} = options;
  const {call, route, service} = context;

  function recordOutcome(
    outcome: string,
    fields: Record<string, unknown>,
  ): void {
    const elapsed = getInstant().monotonic - context.arrivedAt;
    metrics.count('calls', outcome);
    if (outcome === 'answered') metrics.time('answer', elapsed);
    log.infoRateLimited(outcome, {
      requestId: call.id,
      step: 'answer',
      route: route.name,
      milliseconds: Math.round(elapsed),
      sends: options.getSends(),
      version: context.version,
      configurationAge: Math.round(context.configurationAge),
      ...fields,
    });
  }

  function refuse(refusal: Refusal): void {
    metrics.count('refusals', refusal.tag);
    recordOutcome('refused', {
      refusal: refusal.tag,
      reason: refusal.message,
      retryAfter: refusal.retryAfterMilliseconds,
    });
    writer.refuse(refusal, call.id);
  }

  function fail(failure: CallFailure, reason: string): void {
    metrics.count('failedCalls', failure);
    if (writer.isStarted) {
      recordOutcome('broken off', {reason});
      return writer.abort();
    }
    refuse(
      runs.count > 0
        ? {tag: 'endpointFailed', message: reason}
        : {
            tag: 'noEndpoint',
            message: reason,
            retryAfterMilliseconds: NO_ENDPOINT_RETRY_MILLISECONDS,
          },
    );
  }

  function failWithoutEndpoint(): void {
    const wait = limiter.estimateWait(service.name, selector.listUsable());
    if (wait === 0) fail('noEndpoint', 'no endpoint is left to try');
    else failForLimits(Math.max(wait, NO_ENDPOINT_RETRY_MILLISECONDS));
  }

  function failForLimits(waitMilliseconds: number): void {
    metrics.count('limitedCalls', 'refused');
    const reason = 'the limits and pauses of the endpoints leave no room';
    if (runs.count > 0 || writer.isStarted) fail('limits', reason);
    else refuseOverloaded(reason, waitMilliseconds);
  }

  function refuseOverloaded(message: string, waitMilliseconds: number): void {
    refuse({
      tag: 'overloaded',
      message,
      // Infinite where only other instances may use the endpoints.
      retryAfterMilliseconds: Number.isFinite(waitMilliseconds)
        ? waitMilliseconds
        : NO_ENDPOINT_RETRY_MILLISECONDS,
    });
  }

  function refuseQuarantined(isSend: boolean): boolean {
    const found = quarantine.check(quarantinedCall, isSend);
    if (found === null) return false;
    const reason = isRequestName(found.part)
      ? 'endpoints ended under this request'
      : `endpoints ended under the part ${found.part} of the prompt`;
    endQuarantined(reason, found.retryAfterMilliseconds);
    return true;
  }

  function refuseLastEndpoint(): boolean {
    const wait = quarantine.getLastEndpointWait(
      quarantinedCall,
      selector.listUsable(),
    );
    if (wait === 0) return false;
    endQuarantined('endpoints ended under this request, one is left', wait);
    return true;
  }

  function endQuarantined(
    reason: string,
    retryAfterMilliseconds: number,
  ): void {
    if (runs.count > 0 || writer.isStarted) fail('quarantine', reason);
    else {
      refuse({tag: 'quarantined', message: reason, retryAfterMilliseconds});
    }
  }

  function refuseForStop(): boolean {
    if (writer.isStarted || stopForecast.canFinish(context)) return false;
    if (runs.count > 0) {
      fail('stop', 'this instance stops before the call can end');
    } else refuse(STOPPING_REFUSAL);
    return true;
  }

  return {
    recordOutcome,
    refuse,
    refuseOverloaded,
    fail,
    failWithoutEndpoint,
    failForLimits,
    refuseQuarantined,
    refuseLastEndpoint,
    refuseForStop,
  };
}
