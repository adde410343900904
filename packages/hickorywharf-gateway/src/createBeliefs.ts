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
  onLeft(endpointId: string): void;
}

interface Beliefs {
  /** Takes a configuration that the store confirmed after `readAt`. */
  takeConfiguration(next: GatewayConfiguration, readAt: Instant): void;
  /** Takes the list of endpoints as the store had it after `readAt`. */
  takeEndpoints(listed: readonly GatewayEndpoint[], readAt: Instant): void;
  /** Takes what another instance believed of the endpoints after `readAt`. */
  adoptEndpoints(believed: readonly GatewayEndpoint[], readAt: Instant): void;
}

/**
 * Takes over what was read, from the store or through another instance. What is
 * older than what is believed changes nothing and confirms nothing.
 *
 * @example
 *     const beliefs = createBeliefs({state, log, getInstant, onChange, onLeft});
 *     beliefs.takeConfiguration(configuration, sentAt);
 */
export function createBeliefs(options: BeliefsOptions): Beliefs {
  const {state, log, getInstant, onChange, onLeft} = options;

  function takeChanges(
    changes: ReturnType<typeof state.directory.update>,
    readAt: Instant,
  ): void {
    state.endpointFreshness.confirm(readAt);
    for (const {tag, endpoint} of changes) {
      log.note(`endpoint ${tag}`, {
        step: 'endpoints',
        peer: endpoint.id,
        service: endpoint.service,
      });
      if (tag === 'left') onLeft(endpoint.id);
    }
    if (changes.length > 0) onChange();
  }

  return {
    takeConfiguration(next, readAt) {
      const known = state.configuration?.version ?? -1;
      if (next.version < known) return;
      if (next.version > known) {
        state.routes = createRouteTable(next.routes);
        state.configuration = next;
        log.note('configuration in force', {
          step: 'configuration',
          version: next.version,
          before: known,
          routes: next.routes.length,
        });
        onChange();
      }
      state.configurationFreshness.confirm(readAt);
    },
    takeEndpoints(listed, readAt) {
      if (!state.endpointFreshness.isNewer(readAt)) return;
      takeChanges(state.directory.update(listed, getInstant()), readAt);
    },
    adoptEndpoints(believed, readAt) {
      if (!state.endpointFreshness.isNewer(readAt)) return;
      takeChanges(state.directory.adopt(believed, getInstant()), readAt);
    },
  };
}
