import {createRouteTable} from 'hickorywharf-decisions/gateway/createRouteTable';
import type {Instant} from 'hickorywharf-decisions/gateway/instant';
import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayState} from './gatewayState.ts';

interface BeliefsOptions {
  readonly state: GatewayState;
  readonly log: GatewayLog;
  getInstant(): Instant;
  /** Called after the configuration or the endpoints changed. */
  onChange(): void;
  /** Called for each endpoint that is gone. */
  onEndpointRemoved(endpointId: string): void;
}

interface Beliefs {
  /** Takes a configuration that the store confirmed after `readAt`. */
  applyConfiguration(next: GatewayConfiguration, readAt: Instant): void;
  /** Takes the list of endpoints as the store had it after `readAt`. */
  applyEndpoints(listed: readonly GatewayEndpoint[], readAt: Instant): void;
  /** Takes what another instance believed of the endpoints after `readAt`. */
  applyPeerEndpoints(
    believed: readonly GatewayEndpoint[],
    readAt: Instant,
  ): void;
}

/**
 * Takes over what was read, from the store or through another instance. What is
 * older than what is believed changes nothing and confirms nothing.
 *
 * @example
 *     const beliefs = createStateUpdater({state, log, getInstant, onChange, onEndpointRemoved});
 *     beliefs.applyConfiguration(configuration, sentAt);
 */
export function createStateUpdater(options: BeliefsOptions): Beliefs {
  const {
    state,
    log,
    getInstant,
    onChange,
    onEndpointRemoved: onEndpointRemoved,
  } = options;

  function takeChanges(
    changes: ReturnType<typeof state.directory.update>,
    readAt: Instant,
  ): void {
    state.endpointFreshness.recordRead(readAt);
    for (const {tag, endpoint} of changes) {
      log.infoAlways(`endpoint ${tag}`, {
        step: 'endpoints',
        peer: endpoint.id,
        service: endpoint.service,
      });
      if (tag === 'left') onEndpointRemoved(endpoint.id);
    }
    if (changes.length > 0) onChange();
  }

  return {
    applyConfiguration(next, readAt) {
      const known = state.configuration?.version ?? -1;
      if (next.version < known) return;
      if (next.version > known) {
        state.routes = createRouteTable(next.routes);
        state.configuration = next;
        log.infoAlways('configuration in force', {
          step: 'configuration',
          version: next.version,
          before: known,
          routes: next.routes.length,
        });
        onChange();
      }
      state.configurationFreshness.recordRead(readAt);
    },
    applyEndpoints(listed, readAt) {
      if (!state.endpointFreshness.isNewer(readAt)) return;
      takeChanges(state.directory.update(listed, getInstant()), readAt);
    },
    applyPeerEndpoints(believed, readAt) {
      if (!state.endpointFreshness.isNewer(readAt)) return;
      takeChanges(
        state.directory.updateFromPeer(believed, getInstant()),
        readAt,
      );
    },
  };
}
