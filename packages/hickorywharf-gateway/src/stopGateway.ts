import {setImmediate as waitForSockets} from 'node:timers/promises';
import {getStopMargin} from 'hickorywharf-decisions/gateway/getStopMargin';
import type {GatewaySettings} from 'hickorywharf-types/gateway/gatewaySettings';
import type {createLatenessMonitor} from 'hickorywharf-utils/createLatenessMonitor';
import {sleep} from 'hickorywharf-utils/sleep';
import type {createCallServer} from './createCallServer.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayState} from './gatewayState.ts';

interface StopOptions {
  readonly settings: Pick<GatewaySettings, 'graceMilliseconds'>;
  readonly state: GatewayState;
  readonly server: Pick<
    ReturnType<typeof createCallServer>,
    'getActiveCalls' | 'closeIdle' | 'refuseUnfinishable' | 'endCalls'
  >;
  readonly lateness: Pick<ReturnType<typeof createLatenessMonitor>, 'get'>;
  readonly log: Pick<GatewayLog, 'infoAlways'>;
  /** Monotonic milliseconds. */
  now(): number;
  /** Whether this instance dispatches pieces of calls of other instances. */
  hasPeerOrders(): boolean;
  /** Tells the others that this instance leaves. */
  announce(): void;
}

/**
 * Time for the load balancer to notice a stop: it needs two readiness checks,
 * one a second.
 */
const NOTICE_MILLISECONDS = 2600;
const CHECK_MILLISECONDS = 50;
/** Share of the margin in which the last responses are sent. */
const DELIVERY_SHARE = 0.5;

/**
 * Ends the calls of an instance in a planned stop. Calls go on while they can
 * finish within the grace period, others are refused at once. Resolves once all
 * calls have ended; connections may be closed then.
 *
 * @example
 *     await stopGateway(options);
 *     server.close();
 */
export async function stopGateway(options: StopOptions): Promise<void> {
  const {settings, state, server, lateness, log, now} = options;
  const stoppedAt = now();

  const getMargin = (): number =>
    getStopMargin(settings.graceMilliseconds, lateness.get());
  function updateEnd(): void {
    state.endsAt = stoppedAt + settings.graceMilliseconds - getMargin();
  }
  async function waitForResponses(until: number): Promise<void> {
    while (server.getActiveCalls() > 0 && now() < until) await sleep(10);
  }

  state.isStopping = true;
  state.stoppedAt = stoppedAt;
  updateEnd();
  log.infoAlways('stopping', {
    step: 'stop',
    active: server.getActiveCalls(),
    lateness: Math.round(lateness.get()),
  });
  options.announce();
  for (;;) {
    updateEnd();
    server.refuseUnfinishable();
    const hasEnded = now() >= state.endsAt;
    if (hasEnded || now() - stoppedAt >= NOTICE_MILLISECONDS) {
      state.isClosed = true;
      // Requests that have arrived are read before connections are closed.
      await waitForSockets();
      server.closeIdle();
      const isIdle = server.getActiveCalls() === 0 && !options.hasPeerOrders();
      if (hasEnded || isIdle) break;
    }
    await sleep(CHECK_MILLISECONDS);
  }
  const deliveredAt = state.endsAt + getMargin() * DELIVERY_SHARE;
  server.endCalls();
  await waitForResponses(deliveredAt);
  // Connections are accepted in one turn of the event loop, and read in the next.
  await waitForSockets();
  await waitForSockets();
  await waitForResponses(Math.min(deliveredAt, now() + CHECK_MILLISECONDS));
}
