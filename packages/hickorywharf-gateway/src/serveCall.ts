import type {createEndpointHealth} from 'hickorywharf-decisions/gateway/createEndpointHealth';
import type {createRetryBudget} from 'hickorywharf-decisions/gateway/createRetryBudget';
import {decideAdmission} from 'hickorywharf-decisions/gateway/decideAdmission';
import {identifyRequest} from 'hickorywharf-decisions/gateway/identifyRequest';
import {listSharedParts} from 'hickorywharf-decisions/gateway/listSharedParts';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewaySettings} from 'hickorywharf-types/gateway/gatewaySettings';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import {sleep} from 'hickorywharf-utils/sleep';
import type {AttemptResult} from './attemptResult.ts';
import type {CallContext} from './callContext.ts';
import {createCallEndings} from './createCallEndings.ts';
import {createCallInputs} from './createCallInputs.ts';
import type {createStageAdmission} from './createStageAdmission.ts';
import type {createEndpointLimiter} from './createEndpointLimiter.ts';
import type {createEngineWork} from './createEngineWork.ts';
import type {createMemoryBudget} from './createMemoryBudget.ts';
import {createEndpointSelector} from './createEndpointSelector.ts';
import {createEventSplitter} from './createEventSplitter.ts';
import {createFailover} from './createFailover.ts';
import type {createInstantClock} from './createInstantClock.ts';
import type {createQuarantineSync} from './createQuarantineSync.ts';
import type {createResponseWriter} from './createResponseWriter.ts';
import {createRunRecord} from './createRunRecord.ts';
import type {createStopForecast} from './createStopForecast.ts';
import type {createStreamVersions} from './createStreamVersions.ts';
import type {EndpointClient} from './endpointClient.ts';
import {findUnservedStage} from './findUnservedStage.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import type {GatewayState} from './gatewayState.ts';
import type {Hedger} from './hedger.ts';
import {isKeySetFresh} from './isKeySetFresh.ts';
import {NO_ENDPOINT_RETRY_MILLISECONDS} from './noEndpointRetryMilliseconds.ts';
import {raceAttempts} from './raceAttempts.ts';
import type {StageRouter} from './stageRouter.ts';

interface ServeOptions {
  readonly settings: GatewaySettings;
  readonly state: GatewayState;
  readonly wire: GatewayWireFormat;
  readonly endpointClient: EndpointClient;
  readonly health: ReturnType<typeof createEndpointHealth>;
  readonly limiter: ReturnType<typeof createEndpointLimiter>;
  readonly streams: ReturnType<typeof createStreamVersions>;
  readonly quarantine: ReturnType<typeof createQuarantineSync>;
  readonly engines: ReturnType<typeof createEngineWork>;
  readonly hedger: Hedger;
  readonly memory: ReturnType<typeof createMemoryBudget>;
  readonly budget: ReturnType<typeof createRetryBudget>;
  readonly router: StageRouter;
  readonly admitToStages: ReturnType<typeof createStageAdmission>;
  readonly stopForecast: ReturnType<typeof createStopForecast>;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  readonly getInstant: ReturnType<typeof createInstantClock>;
}

interface ServedCall {
  readonly context: CallContext;
  readonly body: Buffer;
  /** Writes the response to the caller. */
  readonly relay: ReturnType<typeof createResponseWriter>;
}

/**
 * The most sends of one call, including those that provably did not run it.
 * Each after the first takes a retry from the budget. Sends that found a stage
 * result dropped may exceed it; the runs of the stages limit these.
 */
const MAXIMUM_SENDS = 5;
/** A call leaves a silent endpoint with a retry to go, and one to return. */
const FAILOVER_RETRIES = 2;
/**
 * Longest wait for the rate limit of an endpoint at which a stream resumes;
 * callers abandon a stream after a pause of about two seconds.
 */
const MAXIMUM_STREAM_PAUSE_MILLISECONDS = 1000;

/** Whether an attempt provably did not run its call. */
const isNotRun = ({tag}: AttemptResult): boolean =>
  tag === 'notRun' || tag === 'inputGone';

/**
 * Serves an admitted call: runs its stages, sends it to an endpoint, and
 * retries at other endpoints while the call is retryable and time and budget
 * are left. Writes exactly one response, or none if the call ends meanwhile
 * because the caller disconnected or the deadline passed.
 *
 * @example
 *     await serveCall(options, {context, body, relay: responseWriter});
 */
export async function serveCall(
  options: ServeOptions,
  input: ServedCall,
): Promise<void> {
  const {settings, state, health, limiter, engines, budget} = options;
  const {quarantine, stopForecast, admitToStages} = options;
  const {log, metrics, getInstant} = options;
  const {context, body, relay: writer} = input;
  const {call, route, service} = context;
  let splitter = createEventSplitter();
  const runs = createRunRecord(route.maximumEndpoints);
  const selector = createEndpointSelector(options, context, runs.mayRunAt);
  let requestName: string | undefined;
  const quarantinedCall = {
    requestId: call.id,
    parts: listSharedParts(call.promptParts),
    bodyBytes: body.length,
    /** Computed when it is needed, as bodies may be large. */
    getRequest(): string {
      requestName ??= identifyRequest({...context, host: route.host, body});
      return requestName;
    },
  };
  let sends = 0;
  const endings = createCallEndings({
    ...options,
    context,
    writer,
    runs,
    selector,
    quarantinedCall,
    getSends: () => sends,
  });
  const inputs = createCallInputs({
    context,
    router: options.router,
    metrics,
    getNow: () => getInstant().monotonic,
  });
  /** Monotonic milliseconds. */
  let retryTakenAt = -Infinity;
  /**
   * Whether the call holds one more retry, to return to the silent endpoint that
   * it left if the one that has accepted it fails.
   */
  let holdsReturn = false;
  const failover = createFailover({
    inputs,
    requestId: call.id,
    log,
    metrics,
    getFacts: getFailoverFacts,
    findEndpoint: selector.selectOther,
    isUsable: (endpoint) =>
      selector.isUsable(endpoint) && limiter.getWait(endpoint) === 0,
    connect(endpoint, {onOpen, onFailure}) {
      return options.endpointClient.reserve(endpoint, {
        onOpen,
        onFailure(message) {
          health.recordFailure(endpoint.id, getInstant().monotonic);
          onFailure(message);
        },
      });
    },
    runStages,
    takeRetry() {
      retryTakenAt = getInstant().monotonic;
      budget.tryRetry(service.name, retryTakenAt, state.instances.length);
      if (holdsReturn) return;
      budget.tryRetry(service.name, retryTakenAt, state.instances.length);
      holdsReturn = true;
    },
    returnRetry() {
      const now = getInstant().monotonic;
      budget.returnRetry(service.name, retryTakenAt, now);
      giveReturnBack();
    },
    reserve: (endpoint) => void limiter.reserve(endpoint),
  });
  /** The endpoint whose rate limit or pause the call waited for. */
  let reserved: GatewayEndpoint | null = null;
  /** Whether the next send has its room in the budget of retries. */
  let hasRetry = false;

  const {recordOutcome, refuse, fail, failWithoutEndpoint, failForLimits} =
    endings;
  const {refuseOverloaded, refuseQuarantined, refuseLastEndpoint} = endings;
  const {refuseForStop} = endings;

  /**
   * Finds the version at which the caller's stream continues. False if it is
   * not known or does not serve any more; the response is written.
   */
  async function findStreamVersion(): Promise<boolean> {
    const {resumedRequestId, lastEventId} = call;
    const found = await options.streams.find(
      // Without the id of the stream, only what holds for all streams is known.
      resumedRequestId ?? call.id,
      service.name,
    );
    metrics.count('resumptions', found?.source ?? 'unknown');
    if (context.isEnded) return false;
    const streamVersion = found?.version ?? null;
    if (streamVersion !== null) selector.setStreamVersion(streamVersion);
    const isServed = streamVersion !== null && selector.listUsable().length > 0;
    log.infoRateLimited('stream to resume', {
      requestId: call.id,
      step: 'admit',
      resumedRequestId,
      lastEventId,
      streamVersion,
      source: found?.source ?? null,
      age: found?.ageMilliseconds ?? null,
      isServed,
    });
    if (isServed) return true;
    refuse({
      tag: 'versionUnknown',
      message:
        streamVersion === null
          ? 'the version that began the stream is not known'
          : `no endpoint has the version ${streamVersion}, which began the stream`,
      retryAfterMilliseconds: NO_ENDPOINT_RETRY_MILLISECONDS,
    });
    return false;
  }

  function recordFirstEvent({version}: GatewayEndpoint): void {
    inputs.free();
    if (route.kind !== 'stream') return;
    selector.setStreamVersion(version);
    if (!route.canResume || version === '') return;
    const streamId = call.resumedRequestId ?? call.id;
    options.streams.recordBegin({streamId, service: service.name, version});
  }

  /** Runs the stages while endpoints are left that may run the call. */
  async function runStages(consumer: GatewayEndpoint, signal?: AbortSignal) {
    const controller = new AbortController();
    const stopWatching = selector.watchVersion((reason) =>
      controller.abort(reason),
    );
    const endPreparation = limiter.startPreparation(service.name);
    const result = await inputs.run({
      services: state.configuration!.services,
      consumerDomain: consumer.failureDomain,
      signal: AbortSignal.any([controller.signal, ...(signal ? [signal] : [])]),
    });
    stopWatching();
    endPreparation();
    return result;
  }

  /**
   * Runs the stages if the call needs results that it does not have. False if
   * the call has ended, also by a refusal or failure that this function wrote.
   */
  async function prepareInputs(): Promise<boolean> {
    if (!inputs.areMissing()) return true;
    // A call can return to the endpoint that it left only with inputs.
    if (!inputs.mayRun(holdsReturn ? 1 : 0)) {
      fail('stages', 'the results of the stages were lost');
      return false;
    }
    const consumer = mustReturn()
      ? selector.selectAside(inputs.list())
      : selector.select(inputs.list());
    if (consumer === undefined) {
      failWithoutEndpoint();
      return false;
    }
    const unserved = findUnservedStage(state, context);
    if (unserved !== null) {
      fail('stages', `no endpoint is left for the stages at ${unserved}`);
      return false;
    }
    const admission = admitToStages(context, {
      endpoints: selector.listUsable(),
      isFirstRun: inputs.countRuns() === 0,
    });
    if (admission.tag === 'refused') {
      refuseOverloaded(admission.message, admission.retryAfterMilliseconds);
      return false;
    }
    context.wait = {
      reason: 'stages',
      startedAt: getInstant().monotonic,
      expectedMilliseconds: admission.stageMilliseconds,
    };
    if (refuseForStop()) return false;
    const result = await runStages(consumer);
    context.wait = null;
    if (context.isEnded) return false;
    if (result.tag === 'failed') {
      if (writer.isStarted || runs.count > 0) {
        fail('stages', `stages: ${result.reason}`);
      } else {
        refuse({
          tag: 'overloaded',
          message: `stages: ${result.reason}`,
          retryAfterMilliseconds: NO_ENDPOINT_RETRY_MILLISECONDS,
        });
      }
      return false;
    }
    inputs.adopt(result);
    return true;
  }

  /**
   * Reserves room for the call in the rate limit of an endpoint, after the end
   * of its pause. Returns the milliseconds until the call may be sent; null if
   * they are too many, after the response was written.
   */
  function reserveRoom(endpoint: GatewayEndpoint): number | null {
    const now = getInstant().monotonic;
    const wait = limiter.getWait(endpoint);
    const milliseconds = wait + engines.estimateFirstEvent(call, [endpoint]);
    const isInTime = engines.canBegin(call, endpoint, context);
    if (wait === 0 && isInTime) return limiter.reserve(endpoint);
    const admission = decideAdmission({
      forecast: {
        timelyMilliseconds: milliseconds,
        totalMilliseconds: milliseconds,
      },
      targetLeftMilliseconds: context.targetAt - now,
      timeLeftMilliseconds: context.firstEventDeadlineAt - now,
    });
    const isTooLong = writer.isStarted
      ? wait > MAXIMUM_STREAM_PAUSE_MILLISECONDS
      : admission.tag === 'refused';
    if (!isTooLong) return limiter.ask(endpoint, context.priority, hasRetry);
    failForLimits(Math.max(wait, NO_ENDPOINT_RETRY_MILLISECONDS));
    return null;
  }

  function getFailoverFacts(): ReturnType<
    Parameters<typeof createFailover>[0]['getFacts']
  > {
    const now = getInstant();
    return {
      // The attempts that go on are among the runs.
      mayRunAgain:
        sends < MAXIMUM_SENDS &&
        context.isRetryable &&
        (runs.hasRoom() || runs.count > 1),
      hasBudget: budget.mayRetry(
        service.name,
        now.monotonic,
        state.instances.length,
        holdsReturn ? 1 : FAILOVER_RETRIES,
      ),
      hasFreshKey:
        context.account === null || isKeySetFresh(state, settings, now),
      isQuarantined:
        quarantine.check(quarantinedCall, false) !== null ||
        quarantine.getLastEndpointWait(quarantinedCall, selector.listUsable()) >
          0,
      timeLeftMilliseconds:
        Math.min(context.deadlineAt, state.endsAt) - now.monotonic,
      neededMilliseconds: engines.estimateFirstEvent(call, []),
    };
  }

  function giveReturnBack(): void {
    if (!holdsReturn) return;
    holdsReturn = false;
    budget.returnRetry(service.name, retryTakenAt, getInstant().monotonic);
  }

  /** Whether the next send has to be the return to an endpoint set aside. */
  function mustReturn(): boolean {
    if (!holdsReturn || hasRetry || sends === 0) return false;
    return (
      sends >= MAXIMUM_SENDS - 1 ||
      !runs.hasRoom() ||
      !inputs.mayRun() ||
      selector.select(inputs.list()) === undefined ||
      !budget.mayRetry(
        service.name,
        getInstant().monotonic,
        state.instances.length,
      )
    );
  }

  function selectEndpoint(): GatewayEndpoint | undefined {
    const other = mustReturn() ? undefined : selector.select(inputs.list());
    const isFree = other !== undefined && limiter.getWait(other) === 0;
    if (isFree || !holdsReturn) return other;
    const aside = selector.selectAside(inputs.list());
    if (aside === undefined) return other;
    // The retry that is held is the one for this send.
    holdsReturn = false;
    hasRetry = true;
    metrics.count('silences', 'returned');
    return aside;
  }

  /** A return adds no endpoint to those that the call ran at. */
  function mayRunAgain(): boolean {
    return (
      runs.hasRoom() ||
      holdsReturn ||
      selector.select(inputs.list()) !== undefined
    );
  }

  function recordSend({id}: GatewayEndpoint): void {
    sends += 1;
    runs.recordSend(id);
  }

  /** Records what became of an attempt that was not given up. */
  function recordEnd(endpoint: GatewayEndpoint, result: AttemptResult): void {
    metrics.count('attempts', result.tag);
    if ('failure' in result) metrics.count('failedAttempts', result.failure);
    if (result.tag === 'delivered' || context.isEnded) return;
    log.infoRateLimited('attempt failed', {
      requestId: call.id,
      step: 'call',
      peer: endpoint.id,
      result: result.tag,
      reason: 'reason' in result ? result.reason : null,
    });
    if (isNotRun(result)) runs.recordNotRun(endpoint.id);
  }

  function attempt(endpoint: GatewayEndpoint) {
    recordSend(endpoint);
    context.isSent = true;
    splitter.reset();
    const getOwn = (at: GatewayEndpoint) => ({
      endpoint: at,
      watch: quarantine.watchCall(at, quarantinedCall),
      responseTimeoutMilliseconds: context.isRetryable
        ? selector.getResponseTimeout(at)
        : null,
      onFirstEvent: () => recordFirstEvent(at),
    });
    const first = {
      ...getOwn(endpoint),
      context,
      inputs: inputs.list(),
      body,
      relay: writer,
      splitter,
      wire: options.wire,
      endpointClient: options.endpointClient,
      health,
      limiter,
      engines,
      memory: options.memory,
      connection: null,
      now: () => getInstant().monotonic,
      onProgress: giveReturnBack,
    };
    return raceAttempts({
      first,
      failover,
      hedger: options.hedger,
      getFacts: () => ({
        ...getFailoverFacts(),
        mayRunAgain: sends < MAXIMUM_SENDS && runs.hasRoom(),
      }),
      findOther: () =>
        selector.selectOther(new Set([endpoint.id]), first.inputs),
      getOwn,
      onSend(at) {
        recordSend(at);
        // Uses up the trial of a quarantined call.
        quarantine.check(quarantinedCall, true);
      },
      onEnd: recordEnd,
      async waitAfterFailure(at, failure) {
        if (isNotRun(failure)) return selector.excludeForRefusal(at.id);
        selector.exclude(at.id);
        await quarantine.waitForProbe(at);
      },
      onReplace(at, replacement) {
        selector.setAside(at.id);
        log.infoRateLimited('silent endpoint left', {
          requestId: call.id,
          step: 'call',
          peer: at.id,
          replacement: replacement.id,
        });
      },
    });
  }

  if (refuseQuarantined(false)) return;
  budget.recordRequest(service.name, context.arrivedAt);
  context.cleanups.add(inputs.free);
  const isResumed = call.resumedRequestId !== null || call.lastEventId !== null;
  if (route.kind === 'stream' && isResumed && !(await findStreamVersion())) {
    context.cleanups.delete(inputs.free);
    return;
  }
  while (!context.isEnded) {
    if (refuseQuarantined(false) || refuseLastEndpoint()) break;
    if (!(await prepareInputs())) break;
    if (
      context.account !== null &&
      !isKeySetFresh(state, settings, getInstant())
    ) {
      if (runs.count > 0 || writer.isStarted) {
        fail('keys', 'keys were not confirmed');
      } else {
        refuse({
          tag: 'unconfirmed',
          message: 'keys were not confirmed for too long',
          retryAfterMilliseconds: NO_ENDPOINT_RETRY_MILLISECONDS,
        });
      }
      break;
    }
    if (reserved !== null && !selector.isUsable(reserved)) reserved = null;
    let endpoint: GatewayEndpoint | undefined = reserved ?? selectEndpoint();
    if (endpoint === undefined) {
      failWithoutEndpoint();
      break;
    }
    if (reserved === null) {
      const wait = reserveRoom(endpoint);
      if (wait === null) break;
      if (wait > 0) {
        reserved = hasRetry || limiter.takesAhead(endpoint) ? endpoint : null;
        context.wait = {
          reason: 'limit',
          startedAt: getInstant().monotonic,
          expectedMilliseconds: wait,
        };
        if (refuseForStop()) break;
        await sleep(wait);
        context.wait = null;
        continue;
      }
    }
    reserved = null;
    const needsRetry = sends > 0 && !hasRetry;
    hasRetry = false;
    if (
      needsRetry &&
      !budget.tryRetry(
        service.name,
        getInstant().monotonic,
        state.instances.length,
      )
    ) {
      fail('budget', 'the budget of repeats is used up');
      break;
    }
    if (refuseLastEndpoint() || refuseQuarantined(true)) break;
    if (refuseForStop()) break;
    const lastEventId = splitter.getLastId() ?? call.lastEventId;
    if (lastEventId !== null) {
      log.infoRateLimited('stream resumes', {
        requestId: call.id,
        step: 'call',
        peer: endpoint.id,
        endpointVersion: endpoint.version,
        resumedRequestId: call.resumedRequestId,
        lastEventId,
        isWithinResponse: writer.isStarted,
      });
    }
    const sentAt = getInstant().monotonic;
    const {result, ...attempted} = await attempt(endpoint);
    ({endpoint, splitter} = attempted);
    // The call of a whole response may have ended by now.
    if (result.tag === 'delivered') {
      stopForecast.recordResponse(context, getInstant().monotonic - sentAt);
      recordOutcome('answered', {
        peer: endpoint.id,
        endpointVersion: endpoint.version,
      });
      break;
    }
    if (context.isEnded || result.tag === 'callerGone') break;
    context.isSent = runs.count > 0;
    if (result.tag === 'inputGone') {
      inputs.free();
      if (mayRunAgain()) continue;
      fail('stages', 'the results of the stages were lost');
      break;
    }
    selector.exclude(endpoint.id);
    if (result.tag === 'broken') inputs.free();
    const mayRetry =
      sends < MAXIMUM_SENDS &&
      mayRunAgain() &&
      (result.tag === 'notRun' || context.isRetryable);
    if (mayRetry) {
      // The end of a process may quarantine this call.
      await quarantine.waitForProbe(endpoint);
      continue;
    }
    if (result.tag === 'failed') {
      recordOutcome('failed', {peer: endpoint.id, status: result.head.status});
      writer.sendResponse(result.head, result.body);
    } else {
      fail('attempt', result.reason);
    }
    break;
  }
  giveReturnBack();
  inputs.free();
  context.cleanups.delete(inputs.free);
}
