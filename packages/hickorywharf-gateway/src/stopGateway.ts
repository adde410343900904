import {setImmediate as waitForSockets} from 'node:timers/promises';
import type {GatewaySettings} from 'hickorywharf-types/gateway/gatewaySettings';
import {sleep} from 'hickorywharf-utils/sleep';
import type {createCallServer} from './createCallServer.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayState} from './gatewayState.ts';

interface StopOptions {
  readonly settings: Pick<GatewaySettings, 'graceMilliseconds'>;
  readonly state: GatewayState;
  readonly server: Pick<
    ReturnType<typeof createCallServer>,
    'getActiveCalls' | 'closeIdle' | 'endCalls' | 'stopListening'
  >;
  readonly log: Pick<GatewayLog, 'infoAlways'>;
  /** Monotonic milliseconds. */
  now(): number;
  /** Tells the others that this instance leaves. */
  announce(): void;
}

/**
 * Time for the load balancer to notice a stop: it needs two readiness checks,
 * one a second.
 */
const NOTICE_MILLISECONDS = 2600;
const CHECK_MILLISECONDS = 50;
/** Calls are ended this long before the grace period ends. */
const MARGIN_MILLISECONDS = 250;
/** Share of the margin in which the last responses are sent. */
const DELIVERY_SHARE = 0.5;

/**
 * Ends the calls of an instance in a planned stop, at the end of the grace
 * period at the latest. Resolves once all calls have ended; connections may be
 * closed then.
 *
 * @example
 *     await stopGateway(options);
 *     server.close();
 */
export async function stopGateway(options: StopOptions): Promise<void> {
  const {settings, state, server, log, now} = options;
  const stoppedAt = now();

  const endsAt = stoppedAt + settings.graceMilliseconds - MARGIN_MILLISECONDS;
  async function waitForResponses(until: number): Promise<void> {
    while (server.getActiveCalls() > 0 && now() < until) await sleep(10);
  }

  state.isStopping = true;
  log.infoAlways('stopping', {
    step: 'stop',
    active: server.getActiveCalls(),
  });
  options.announce();
  for (;;) {
    const hasEnded = now() >= endsAt;
    if (now() - stoppedAt >= NOTICE_MILLISECONDS) {
      state.isClosed = true;
      // Requests that have arrived are read before connections are closed.
      await waitForSockets();
      server.closeIdle();
      if (hasEnded || server.getActiveCalls() === 0) break;
    }
    await sleep(CHECK_MILLISECONDS);
  }
  const deliveredAt = endsAt + MARGIN_MILLISECONDS * DELIVERY_SHARE;
  server.endCalls();
  await waitForResponses(deliveredAt);
  server.stopListening();
  // Connections are accepted in one turn of the event loop, and read in the next.
  await waitForSockets();
  await waitForSockets();
  await waitForResponses(Math.min(deliveredAt, now() + CHECK_MILLISECONDS));
}
