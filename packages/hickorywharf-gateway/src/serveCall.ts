import {chooseEndpoint} from 'hickorywharf-decisions/gateway/chooseEndpoint';
import {chooseEngine} from 'hickorywharf-decisions/gateway/chooseEngine';
import type {createEndpointHealth} from 'hickorywharf-decisions/gateway/createEndpointHealth';
import type {createRetryBudget} from 'hickorywharf-decisions/gateway/createRetryBudget';
import {forecastCall} from 'hickorywharf-decisions/gateway/forecastCall';
import {estimateEngineTime} from 'hickorywharf-decisions/gateway/estimateEngineTime';
import {decideAdmission} from 'hickorywharf-decisions/gateway/decideAdmission';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewaySettings} from 'hickorywharf-types/gateway/gatewaySettings';
import type {GatewayWireFormat} from 'hickorywharf-types/gateway/gatewayWireFormat';
import {attemptCall} from './attemptCall.ts';
import type {AttemptResult} from './attemptResult.ts';
import type {CallContext} from './callContext.ts';
import type {createResponseWriter} from './createResponseWriter.ts';
import type {createEndpointLoads} from './createEndpointLoads.ts';
import {createStageForecasts} from './createStageForecasts.ts';
import {createEventSplitter} from './createEventSplitter.ts';
import type {createInstantClock} from './createInstantClock.ts';
import type {EndpointClient} from './endpointClient.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import type {GatewayState} from './gatewayState.ts';
import {isKeySetFresh} from './isKeySetFresh.ts';
import type {Refusal} from './refusal.ts';
import {runStages} from './runStages.ts';
import type {StageRouter} from './stageRouter.ts';

interface ServeOptions {
  readonly settings: GatewaySettings;
  readonly state: GatewayState;
  readonly wire: GatewayWireFormat;
  readonly endpointClient: EndpointClient;
  readonly health: ReturnType<typeof createEndpointHealth>;
  readonly loads: ReturnType<typeof createEndpointLoads>;
  readonly budget: ReturnType<typeof createRetryBudget>;
  readonly router: StageRouter;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  readonly getInstant: ReturnType<typeof createInstantClock>;
}

interface Serving {
  readonly context: CallContext;
  readonly body: Buffer;
  readonly relay: ReturnType<typeof createResponseWriter>;
}

/** How often a result that is gone sends a call back to its stages. */
const MAXIMUM_STAGE_RUNS = 2;
/** Sends that did not run the call; each costs a repeat of the budget. */
const MAXIMUM_SENDS = 5;
/** A plain answer that takes so many times the usual is given up. */
const PATIENCE_FACTOR = 5;
const PATIENCE_MILLISECONDS = 250;
/** An engine reads at least this much before it is thought silent. */
const ENGINE_PATIENCE_MILLISECONDS = 1500;
const ENGINE_TOKENS_PER_MILLISECOND = 15;
/** When to come back where no endpoint can take a call. */
const NO_ENDPOINT_RETRY_MILLISECONDS = 300;

/**
 * Serves an admitted call: its stages, then an endpoint, and another one while
 * the call may be repeated and there is time and budget left. It ends with one
 * answer, or with none if the caller left.
 *
 * @example
 *     await serveCall(options, {context, body, relay});
 */
export async function serveCall(
  options: ServeOptions,
  serving: Serving,
): Promise<void> {
  const {settings, state, health, loads, budget, log, metrics, getInstant} =
    options;
  const {context, body, relay} = serving;
  const {call, route, service} = context;
  const splitter = createEventSplitter();
  const tried = new Set<string>();
  let sends = 0;
  let runs = 0;
  let stageRuns = 0;
  let inputs: readonly string[] = [];
  let handles: readonly string[] = [];
  let hasInputs = false;

  /** About how large a result is that the call itself reads. */
  const resultBytes = Math.max(
    0,
    ...route.stages.map((stage) => stage.resultBytes),
  );

  function conclude(outcome: string, fields: Record<string, unknown>): void {
    const took = getInstant().monotonic - context.arrivedAt;
    metrics.count('calls', outcome);
    if (outcome === 'answered') metrics.time('answer', took);
    log.infoRateLimited(outcome, {
      requestId: call.id,
      step: 'answer',
      route: route.name,
      milliseconds: Math.round(took),
      sends,
      ...fields,
    });
  }

  function freeInputs(): void {
    if (handles.length > 0) options.router.free(handles);
    handles = [];
    hasInputs = false;
  }

  function refuse(refusal: Refusal): void {
    metrics.count('refusals', refusal.tag);
    conclude('refused', {refusal: refusal.tag, reason: refusal.message});
    relay.refuse(refusal, call.id);
  }

  /** The last word when nothing more can be tried. */
  function giveUp(reason: string): void {
    if (relay.isStarted) {
      conclude('broken off', {reason});
      return relay.abort();
    }
    refuse(
      runs > 0
        ? {tag: 'endpointFailed', message: reason}
        : {
            tag: 'noEndpoint',
            message: reason,
            retryAfterMilliseconds: NO_ENDPOINT_RETRY_MILLISECONDS,
          },
    );
  }

  function choose(): GatewayEndpoint | undefined {
    const now = getInstant().monotonic;
    const {failureDomain} = settings;
    const choices = state.directory
      .getUsable(service.name)
      .filter(({id}) => !tried.has(id))
      .map((endpoint) => ({
        ...endpoint,
        endpoint,
        ...loads.get(endpoint.id),
        answerMilliseconds: health.getResponseTime(endpoint.id),
        penaltyMilliseconds: health.getPenalty(endpoint.id, now),
      }));
    const choice = route.isSticky
      ? chooseEngine(choices, {
          parts: call.promptParts,
          failureDomain,
          results: inputs.map(options.router.getFailureDomain),
          resultBytes,
        })
      : chooseEndpoint(choices, failureDomain);
    return choice?.endpoint;
  }

  function getPatience(endpoint: GatewayEndpoint): number | null {
    if (!context.isRetryable || runs + 1 >= route.maximumEndpoints) {
      return null;
    }
    if (state.directory.getUsable(service.name).length < 2) return null;
    if (!route.isSticky) {
      const usual = health.getResponseTime(endpoint.id);
      return usual * PATIENCE_FACTOR + PATIENCE_MILLISECONDS;
    }
    const {pendingTokens} = loads.get(endpoint.id);
    const tokens = pendingTokens + call.promptTokens;
    return (
      ENGINE_PATIENCE_MILLISECONDS + tokens / ENGINE_TOKENS_PER_MILLISECOND
    );
  }

  /** Makes what the endpoint reads; false if the call is over. */
  async function prepare(): Promise<boolean> {
    const needsStages = call.pieces.some((count) => count > 0);
    if (!needsStages || route.stages.length === 0 || hasInputs) return true;
    if (stageRuns >= MAXIMUM_STAGE_RUNS) {
      giveUp('the results of the stages were lost');
      return false;
    }
    const {services} = state.configuration!;
    const now = getInstant().monotonic;
    if (stageRuns === 0) {
      const forecast = forecastCall(
        createStageForecasts(context, services, options.router.getWaitEstimate),
        estimateEngineTime(call.promptTokens),
      );
      const admission = decideAdmission({
        forecast,
        targetLeftMilliseconds: context.targetAt - now,
        timeLeftMilliseconds: context.deadlineAt - now,
      });
      if (admission.tag === 'refused') {
        refuse({
          tag: 'overloaded',
          message: `about ${Math.round(forecast.totalMilliseconds)} ms of work ahead`,
          retryAfterMilliseconds: admission.retryAfterMilliseconds,
        });
        return false;
      }
    }
    stageRuns += 1;
    const result = await runStages({
      context,
      services,
      router: options.router,
      consumerDomain: choose()?.failureDomain ?? null,
      getNow: () => getInstant().monotonic,
    });
    if (context.isEnded) {
      if (result.tag === 'made') options.router.free(result.handles);
      return false;
    }
    if (result.tag === 'failed') {
      if (relay.isStarted || runs > 0) giveUp(`stages: ${result.reason}`);
      else {
        refuse({
          tag: 'overloaded',
          message: `stages: ${result.reason}`,
          retryAfterMilliseconds: NO_ENDPOINT_RETRY_MILLISECONDS,
        });
      }
      return false;
    }
    metrics.time('stages', getInstant().monotonic - now);
    ({inputs, handles} = result);
    hasInputs = true;
    return true;
  }

  async function attempt(endpoint: GatewayEndpoint): Promise<AttemptResult> {
    sends += 1;
    return attemptCall({
      context,
      endpoint,
      inputs,
      body,
      relay,
      splitter,
      wire: options.wire,
      endpointClient: options.endpointClient,
      health,
      loads,
      idleTimeoutMilliseconds: getPatience(endpoint),
      now: () => getInstant().monotonic,
      onInputsRead: freeInputs,
    });
  }

  budget.recordRequest(service.name, context.arrivedAt);
  context.cleanups.add(freeInputs);
  while (!context.isEnded) {
    if (!(await prepare())) break;
    if (
      context.account !== null &&
      !isKeySetFresh(state, settings, getInstant())
    ) {
      if (runs > 0 || relay.isStarted) giveUp('keys were not confirmed');
      else {
        refuse({
          tag: 'unconfirmed',
          message: 'keys were not confirmed for too long',
          retryAfterMilliseconds: NO_ENDPOINT_RETRY_MILLISECONDS,
        });
      }
      break;
    }
    const endpoint = choose();
    if (endpoint === undefined) {
      giveUp('no endpoint is left to try');
      break;
    }
    const isRepeat = sends > 0;
    if (
      isRepeat &&
      !budget.tryRetry(
        service.name,
        getInstant().monotonic,
        state.instances.length,
      )
    ) {
      giveUp('the budget of repeats is used up');
      break;
    }
    const result = await attempt(endpoint);
    metrics.count('attempts', result.tag);
    if (context.isEnded || result.tag === 'callerGone') break;
    if (result.tag === 'delivered') {
      conclude('answered', {peer: endpoint.id});
      break;
    }
    log.infoRateLimited('attempt failed', {
      requestId: call.id,
      step: 'call',
      peer: endpoint.id,
      result: result.tag,
      reason: 'reason' in result ? result.reason : null,
    });
    if (result.tag === 'inputGone') {
      freeInputs();
      continue;
    }
    tried.add(endpoint.id);
    if (result.tag !== 'notRun') runs += 1;
    if (result.tag === 'broken') {
      splitter.reset();
      freeInputs();
    }
    const mayRepeat =
      sends < MAXIMUM_SENDS &&
      (result.tag === 'notRun' ||
        (context.isRetryable && runs < route.maximumEndpoints));
    if (mayRepeat) continue;
    if (result.tag === 'failed') {
      conclude('failed', {peer: endpoint.id, status: result.head.status});
      relay.sendResponse(result.head, result.body);
    } else {
      giveUp(result.reason);
    }
    break;
  }
  freeInputs();
  context.cleanups.delete(freeInputs);
}
