import {chooseEndpoint} from 'hickorywharf-decisions/gateway/chooseEndpoint';
import {chooseEngine} from 'hickorywharf-decisions/gateway/chooseEngine';
import type {createEndpointHealth} from 'hickorywharf-decisions/gateway/createEndpointHealth';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewaySettings} from 'hickorywharf-types/gateway/gatewaySettings';
import type {CallContext} from './callContext.ts';
import type {createEndpointLimiter} from './createEndpointLimiter.ts';
import type {createEndpointLoads} from './createEndpointLoads.ts';
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
  readonly loads: ReturnType<typeof createEndpointLoads>;
  readonly router: StageRouter;
  readonly getInstant: ReturnType<typeof createInstantClock>;
}

interface EndpointSelector {
  /** Limits the endpoints to those of the version that began the stream. */
  setStreamVersion(version: string): void;
  /** Excludes an endpoint that was tried. */
  exclude(endpointId: string): void;
  /** Sets an endpoint aside that the call left as it was silent. */
  setAside(endpointId: string): void;
  /** The endpoints that may run the call, with those that were tried. */
  listUsable(): readonly GatewayEndpoint[];
  /**
   * Calls the listener once no endpoint has the version that began the stream;
   * the function returned ends that.
   */
  watchVersion(onGone: () => void): () => void;
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

/**
 * Selects the endpoints for the attempts of one call.
 *
 * @example
 *     const selector = createEndpointSelector(options, context);
 *     const endpoint = selector.select([]);
 */
export function createEndpointSelector(
  options: SelectorOptions,
  context: CallContext,
): EndpointSelector {
  const {settings, state, health, limiter, streams, loads, router} = options;
  const {call, route, service} = context;
  const triedEndpoints = new Set<string>();
  const asideEndpoints = new Set<string>();
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

  const listNew = (): GatewayEndpoint[] =>
    listUsable().filter(({id}) => !asideEndpoints.has(id));

  function choose(
    endpoints: readonly GatewayEndpoint[],
    inputs: readonly string[],
  ): GatewayEndpoint | undefined {
    const now = options.getInstant().monotonic;
    const {failureDomain} = settings;
    const candidates = endpoints
      .filter(({id}) => !triedEndpoints.has(id))
      .map((endpoint) => ({
        ...endpoint,
        endpoint,
        ...loads.get(endpoint.id),
        responseMilliseconds: health.getResponseTime(endpoint.id),
        penaltyMilliseconds:
          health.getPenalty(endpoint.id, now) + limiter.getPenalty(endpoint),
      }));
    const selected = route.isSticky
      ? chooseEngine(candidates, {
          parts: call.promptParts,
          failureDomain,
          results: inputs.map(router.getFailureDomain),
          resultBytes,
        })
      : chooseEndpoint(candidates, failureDomain);
    return selected?.endpoint;
  }

  return {
    setStreamVersion(version) {
      streamVersion = version;
    },
    exclude: (endpointId) => void triedEndpoints.add(endpointId),
    listUsable,
    watchVersion(onGone) {
      const check = (): void => {
        if (streamVersion !== null && listUsable().length === 0) onGone();
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
      const {pendingTokens} = loads.get(id);
      const tokens = pendingTokens + call.promptTokens;
      return (
        ENGINE_TIMEOUT_MILLISECONDS + tokens / ENGINE_TOKENS_PER_MILLISECOND
      );
    },
  };
}
