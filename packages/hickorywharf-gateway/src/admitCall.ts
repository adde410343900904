import type {Instant} from 'hickorywharf-decisions/gateway/instant';
import {getFirstEventTimeout} from 'hickorywharf-decisions/gateway/getFirstEventTimeout';
import {pickService} from 'hickorywharf-decisions/gateway/pickService';
import type {GatewayCall} from 'hickorywharf-types/gateway/gatewayCall';
import type {GatewaySettings} from 'hickorywharf-types/gateway/gatewaySettings';
import {err, ok, type Result} from 'neverthrow';
import type {CallContext} from './callContext.ts';
import type {GatewayState} from './gatewayState.ts';
import {isConfigurationCurrent} from './isConfigurationCurrent.ts';
import {isKeySetFresh} from './isKeySetFresh.ts';
import type {Refusal} from './refusal.ts';

interface IncomingRequest {
  readonly call: GatewayCall;
  readonly method: string;
  /** The `Host` header; empty if there is none. */
  readonly host: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  readonly receivedAt: Instant;
}

/**
 * A refusal is final only if no newer configuration is known, and the store
 * confirmed this one within this share of the time in which a change has to be
 * applied; otherwise the request is refused as `unconfirmed`.
 */
const CERTAIN_AGE_SHARE = 0.75;
/** Retry delay for callers while the configuration is missing or stale. */
const RETRY_MILLISECONDS = 300;

/**
 * Admits or refuses a request by its headers: finds its route, client account,
 * service and deadline. A refusal that callers should not retry is given only
 * if the store confirmed the configuration recently; else the request is
 * refused as `unconfirmed`, which callers may retry.
 *
 * @returns the context of the admitted call, or a refusal for the caller
 * @example
 *     const admitted = admitCall(state, settings, request);
 *     admitted.map(({deadlineAt}) => deadlineAt);
 */
export function admitCall(
  state: GatewayState,
  settings: GatewaySettings,
  request: IncomingRequest,
): Result<CallContext, Refusal> {
  const {configuration} = state;
  const {call, method, host, target, receivedAt} = request;
  if (configuration === null) {
    return err({
      tag: 'notReady',
      message: 'no configuration is known yet',
      retryAfterMilliseconds: RETRY_MILLISECONDS,
    });
  }
  const configurationAge = state.configurationFreshness.getAge(receivedAt);
  if (!isConfigurationCurrent(state, settings, receivedAt)) {
    return err({
      tag: 'unconfirmed',
      message: 'a newer configuration was not received in time',
      retryAfterMilliseconds: RETRY_MILLISECONDS,
    });
  }
  const isCertain =
    state.newestVersion <= configuration.version &&
    configurationAge < settings.applyMilliseconds * CERTAIN_AGE_SHARE;
  const refuse = (refusal: Refusal): Result<CallContext, Refusal> =>
    isCertain
      ? err(refusal)
      : err({
          tag: 'unconfirmed',
          message: `${refusal.message}, by a configuration that may be old`,
          retryAfterMilliseconds: RETRY_MILLISECONDS,
        });

  const path = target.split('?', 1)[0]!;
  const route = state.routes.find(host, path);
  if (route === undefined) {
    return refuse({tag: 'unknownRoute', message: 'no route fits'});
  }
  const {accountsByKey} = configuration;
  const needsKey = accountsByKey !== null && !route.isPublic;
  // A request without a key is looked up by the empty key.
  const account = needsKey ? accountsByKey.get(call.key ?? '') : null;
  if (account === undefined) {
    return refuse({tag: 'unauthenticated', message: 'the key is not known'});
  }
  if (needsKey && !isKeySetFresh(state, settings, receivedAt)) {
    return err({
      tag: 'unconfirmed',
      message: 'keys were not confirmed for too long',
      retryAfterMilliseconds: RETRY_MILLISECONDS,
    });
  }
  // For a route without services, the empty name finds no service.
  const service = configuration.services.get(
    pickService(route, call.resumedRequestId ?? call.id) ?? '',
  );
  if (service === undefined) {
    return err({tag: 'noEndpoint', message: 'the route has no service'});
  }
  // Without a deadline of the caller, only the timeout of the route applies.
  const timeLeft = Math.min(
    call.timeLeftMilliseconds ?? Infinity,
    route.timeoutMilliseconds,
  );
  return ok({
    call,
    method,
    target,
    route,
    service,
    account: account?.name ?? null,
    version: configuration.version,
    configurationAge,
    priority: account?.priority ?? route.priority,
    isRetryable:
      route.kind === 'read' || (route.kind === 'stream' && route.canResume),
    arrivedAt: receivedAt.monotonic,
    targetAt: receivedAt.monotonic + route.targetMilliseconds,
    deadlineAt: receivedAt.monotonic + timeLeft,
    firstEventDeadlineAt:
      receivedAt.monotonic + Math.min(timeLeft, getFirstEventTimeout(route)),
    isEnded: false,
    isSent: false,
    wait: {
      reason: 'body',
      startedAt: receivedAt.monotonic,
      expectedMilliseconds: 0,
    },
    cleanups: new Set(),
  });
}
