import type {Instant} from 'hickorywharf-decisions/gateway/instant';
import {pickService} from 'hickorywharf-decisions/gateway/pickService';
import type {GatewayCall} from 'hickorywharf-types/gateway/gatewayCall';
import type {GatewaySettings} from 'hickorywharf-types/gateway/gatewaySettings';
import {err, ok, type Result} from 'neverthrow';
import type {CallContext} from './callContext.ts';
import type {GatewayState} from './gatewayState.ts';
import {isKeySetFresh} from './isKeySetFresh.ts';
import type {Refusal} from './refusal.ts';

interface Arrival {
  readonly call: GatewayCall;
  readonly method: string;
  readonly host: string;
  readonly target: string;
  readonly at: Instant;
}

/**
 * Without a word of the store younger than this share of the time in which a
 * change binds, nothing is refused for good.
 */
const CERTAIN_SHARE = 0.75;
/** When to come back while this instance cannot judge. */
const JUDGE_AGAIN_MILLISECONDS = 300;

/**
 * Judges a request by its head: its route, its account and its time. What the
 * configuration does not allow is refused for good only when the store has
 * confirmed the configuration just now.
 *
 * @example
 *     const admitted = admitCall(state, settings, arrival);
 */
export function admitCall(
  state: GatewayState,
  settings: GatewaySettings,
  arrival: Arrival,
): Result<CallContext, Refusal> {
  const {configuration} = state;
  const {call, method, host, target, at} = arrival;
  if (configuration === null) {
    return err({
      tag: 'notReady',
      message: 'no configuration is known yet',
      retryAfterMilliseconds: JUDGE_AGAIN_MILLISECONDS,
    });
  }
  const isCertain =
    state.configurationFreshness.getAge(at) <
    settings.applyMilliseconds * CERTAIN_SHARE;
  const refuse = (refusal: Refusal): Result<CallContext, Refusal> =>
    isCertain
      ? err(refusal)
      : err({
          tag: 'unconfirmed',
          message: `${refusal.message}, by a configuration that may be old`,
          retryAfterMilliseconds: JUDGE_AGAIN_MILLISECONDS,
        });

  const path = target.split('?', 1)[0]!;
  const route = state.routes.find(host, path);
  if (route === undefined) {
    return refuse({tag: 'unknownRoute', message: 'no route fits'});
  }
  const {accountsByKey} = configuration;
  const needsKey = accountsByKey !== null && !route.isPublic;
  const account = needsKey ? accountsByKey.get(call.key ?? '') : null;
  if (account === undefined) {
    return refuse({tag: 'unauthenticated', message: 'the key is not known'});
  }
  if (needsKey && !isKeySetFresh(state, settings, at)) {
    return err({
      tag: 'unconfirmed',
      message: 'keys were not confirmed for too long',
      retryAfterMilliseconds: JUDGE_AGAIN_MILLISECONDS,
    });
  }
  const service = configuration.services.get(pickService(route, call.id) ?? '');
  if (service === undefined) {
    return err({tag: 'noEndpoint', message: 'the route has no service'});
  }
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
    priority: account?.priority ?? route.priority,
    isRetryable:
      route.kind === 'read' || (route.kind === 'stream' && route.canResume),
    arrivedAt: at.monotonic,
    targetAt: at.monotonic + route.targetMilliseconds,
    deadlineAt: at.monotonic + timeLeft,
    isEnded: false,
    cleanups: new Set(),
  });
}
