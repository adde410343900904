import {chooseEndpoint} from 'hickorywharf-decisions/gateway/chooseEndpoint';
import type {createEndpointHealth} from 'hickorywharf-decisions/gateway/createEndpointHealth';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewaySettings} from 'hickorywharf-types/gateway/gatewaySettings';
import type {CallContext} from './callContext.ts';
import type {createEndpointLimiter} from './createEndpointLimiter.ts';
import type {createEngineWork} from './createEngineWork.ts';
import type {createInstantClock} from './createInstantClock.ts';
import type {createStreamVersions} from './createStreamVersions.ts';
import type {GatewayState} from './gatewayState.ts';
import type {StageRouter} from './stageRouter.ts';

interface SelectorOptions {
  readonly settings: GatewaySettings;
  readonly state: GatewayState;
  readonly health: ReturnType<typeof createEndpointHealth>;
  readonly limiter: ReturnType<typeof createEndpointLimiter>;
  readonly streams: ReturnType<typeof createStreamVersions>;
  readonly engines: ReturnType<typeof createEngineWork>;
  readonly router: StageRouter;
  readonly getInstant: ReturnType<typeof createInstantClock>;
}

interface EndpointSelector {
  /** Limits the endpoints to those of the version that began the stream. */
  setStreamVersion(version: string): void;
  /** Excludes an endpoint that was tried. */
  exclude(endpointId: string): void;
  /**
   * Excludes an endpoint that turned the call away, for a time that doubles with
   * each further refusal.
   */
  excludeForRefusal(endpointId: string): void;
  /** Sets an endpoint aside that the call left as it was silent. */
  setAside(endpointId: string): void;
  /** The endpoints that may run the call, with those that were tried. */
  listUsable(): readonly GatewayEndpoint[];
  /** Calls back once no endpoint is left for the call; returns how to stop. */
  watchVersion(onGone: (reason: string) => void): () => void;
  /** Whether the incarnation of the endpoint may still get work now. */
  isUsable(endpoint: GatewayEndpoint): boolean;
  /**
   * Undefined if no usable endpoint is left that was not tried.
   *
   * @param inputs handles of the stage results that the call reads
   */
  select(inputs: readonly string[]): GatewayEndpoint | undefined;
  /** An endpoint that was set aside; undefined if none of them is usable. */
  selectAside(inputs: readonly string[]): GatewayEndpoint | undefined;
  /**
   * Like `select`, for a call that leaves a silent endpoint: undefined also if
   * all others are excluded, silent too, or have no room for the call now.
   */
  selectOther(
    excluded: ReadonlySet<string>,
    inputs: readonly string[],
  ): GatewayEndpoint | undefined;
  /**
   * Milliseconds without a response, or without the first event of a stream,
   * after which the endpoint counts as silent.
   */
  getResponseTimeout(endpoint: GatewayEndpoint): number;
}

/**
 * An endpoint other than a model engine counts as silent after its usual
 * response time times the factor plus the margin.
 */
const TIMEOUT_FACTOR = 5;
const TIMEOUT_MARGIN_MILLISECONDS = 250;
/**
 * A model engine counts as silent after this time plus the time to read the pending
 * prompt tokens at the given rate, the lowest that is expected of an engine.
 */
const ENGINE_TIMEOUT_MILLISECONDS = 1500;
const ENGINE_TOKENS_PER_MILLISECOND = 15;
/** Time after which an endpoint that turned the call away is asked again. */
const FIRST_REFUSAL_MILLISECONDS = 400;

/**
 * Selects the endpoints for the attempts of one call.
 *
 * @param mayRunAt whether the call may run at an endpoint
 * @example
 *     const selector = createEndpointSelector(options, context);
 *     const endpoint = selector.select([]);
 */
export function createEndpointSelector(
  options: SelectorOptions,
  context: CallContext,
  mayRunAt: (endpointId: string) => boolean = () => true,
): EndpointSelector {
  const {settings, state, health, limiter, streams, engines, router} = options;
  const {call, route, service} = context;
  const triedEndpoints = new Set<string>();
  const asideEndpoints = new Set<string>();
  /** Endpoints that turned the call away, with monotonic milliseconds. */
  const refusals = new Map<string, {count: number; until: number}>();
  /** Version that began the stream; null before its first event. */
  let streamVersion: string | null = null;
  /** Approximate size of the largest stage result. */
  const resultBytes = Math.max(
    0,
    ...route.stages.map((stage) => stage.resultBytes),
  );

  function listUsable(): readonly GatewayEndpoint[] {
    if (streamVersion !== null) {
      return state.directory
        .getUsable(service.name)
        .filter(({version}) => version !== '' && version === streamVersion);
    }
    return route.kind === 'stream' && route.canResume
      ? streams.listBeginnable(service.name)
      : state.directory.getUsable(service.name);
  }

  function isExcluded(endpointId: string, now: number): boolean {
    const refusedUntil = refusals.get(endpointId)?.until ?? -Infinity;
    return triedEndpoints.has(endpointId) || refusedUntil > now;
  }

  const listNew = (): GatewayEndpoint[] =>
    listUsable().filter(({id}) => !asideEndpoints.has(id));

  function choose(
    endpoints: readonly GatewayEndpoint[],
    inputs: readonly string[],
  ): GatewayEndpoint | undefined {
    const now = options.getInstant().monotonic;
    const {failureDomain} = settings;
    const candidates = limiter
      .leaveOutFull(
        endpoints.filter(({id}) => !isExcluded(id, now) && mayRunAt(id)),
      )
      .map((endpoint) => ({
        ...endpoint,
        endpoint,
        ...engines.get(endpoint.id),
        responseMilliseconds: health.getResponseTime(endpoint.id),
        penaltyMilliseconds:
          health.getPenalty(endpoint.id, now) + limiter.getWait(endpoint),
      }));
    if (!route.isSticky) {
      return chooseEndpoint(candidates, failureDomain)?.endpoint;
    }
    const results = inputs.map(router.getFailureDomain);
    const placement = {call, failureDomain, results, resultBytes};
    return engines.choose(candidates, placement);
  }

  return {
    setStreamVersion(version) {
      streamVersion = version;
    },
    exclude: (endpointId) => void triedEndpoints.add(endpointId),
    excludeForRefusal(endpointId) {
      const count = (refusals.get(endpointId)?.count ?? 0) + 1;
      const delay = FIRST_REFUSAL_MILLISECONDS * 2 ** (count - 1);
      const until = options.getInstant().monotonic + delay;
      refusals.set(endpointId, {count, until});
    },
    listUsable,
    watchVersion(onGone) {
      const check = (): void => {
        const isGone = streamVersion !== null && listUsable().length === 0;
        if (isGone) return onGone('no endpoint of the version is left');
        if (state.directory.isEmptied(service.name)) onGone('evacuated');
      };
      state.endpointListeners.add(check);
      return () => void state.endpointListeners.delete(check);
    },
    isUsable: (endpoint) =>
      limiter.getPause(endpoint) === 0 &&
      state.directory
        .getUsable(service.name)
        .some(
          ({id, startedAt}) =>
            id === endpoint.id && startedAt === endpoint.startedAt,
        ),
    setAside: (endpointId) => void asideEndpoints.add(endpointId),
    select: (inputs) => choose(listNew(), inputs),
    selectAside(inputs) {
      const aside = listUsable().filter(({id}) => asideEndpoints.has(id));
      return choose(aside, inputs);
    },
    selectOther(excluded, inputs) {
      const others = listNew().filter(
        (endpoint) =>
          !excluded.has(endpoint.id) &&
          !health.isSilent(endpoint.id) &&
          limiter.getWait(endpoint) === 0,
      );
      return choose(others, inputs);
    },
    getResponseTimeout({id}) {
      if (!route.isSticky) {
        const usual = health.getResponseTime(id);
        return usual * TIMEOUT_FACTOR + TIMEOUT_MARGIN_MILLISECONDS;
      }
      const {pendingTokens} = engines.get(id);
      const tokens = pendingTokens + call.promptTokens;
      return (
        ENGINE_TIMEOUT_MILLISECONDS + tokens / ENGINE_TOKENS_PER_MILLISECOND
      );
    },
  };
}
