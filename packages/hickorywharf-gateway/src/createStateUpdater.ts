import {createRouteTable} from 'hickorywharf-decisions/gateway/createRouteTable';
import {getElapsed} from 'hickorywharf-decisions/gateway/getElapsed';
import type {Instant} from 'hickorywharf-decisions/gateway/instant';
import type {GatewayConfiguration} from 'hickorywharf-types/gateway/gatewayConfiguration';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import type {GatewayState} from './gatewayState.ts';

interface UpdaterOptions {
  readonly state: GatewayState;
  readonly log: GatewayLog;
  readonly metrics: Pick<GatewayMetrics, 'count' | 'time'>;
  getInstant(): Instant;
  /** Called after the configuration or the usable endpoints changed. */
  onChange(): void;
  /** Called for each endpoint that was removed, before `onChange`. */
  onEndpointRemoved(endpointId: string): void;
  /** Called for each endpoint that another process runs now. */
  onEndpointRestarted(endpointId: string): void;
  /** Called after each list, changed or not, with the time of its read. */
  onEndpointsConfirmed(readAt: Instant): void;
}

interface StateUpdater {
  /** Records the version of a peer's configuration; -1 for none. */
  recordPeerVersion(version: number, peer: string): void;
  /** Records the version of a configuration that the store began to send. */
  recordStoreVersion(version: number): void;
  /** Applies a configuration that was requested from the store at `readAt`. */
  applyConfiguration(next: GatewayConfiguration, readAt: Instant): void;
  /** Applies that an incarnation of an endpoint said that it leaves. */
  recordLeaving(endpoint: GatewayEndpoint): void;
  /** Applies an endpoint list that was requested from the store at `readAt`. */
  applyEndpoints(listed: readonly GatewayEndpoint[], readAt: Instant): void;
  /** Applies the endpoint list of a peer, which read the store at `readAt`. */
  applyPeerEndpoints(
    peerEndpoints: readonly GatewayEndpoint[],
    readAt: Instant,
  ): void;
  /**
   * Applies the failure domains that are to be evacuated, as requested from the
   * store at `readAt`. No effect where the settings know of no evacuations.
   */
  applyEvacuations(ordered: readonly string[], readAt: Instant): void;
}

/**
 * Applies configurations, endpoint lists and orders to evacuate, from the store
 * or from a peer, to the state of this instance. Data older than the state is
 * ignored and does not make the state count as fresher, and neither does a
 * configuration while a newer one is known to exist. The version decides which
 * configuration is older; for endpoint lists and orders it is the time of the
 * read.
 *
 * @example
 *     const updater = createStateUpdater(options);
 *     updater.applyConfiguration(configuration, readAt);
 */
export function createStateUpdater(options: UpdaterOptions): StateUpdater {
  const {state, log, metrics, getInstant, onChange, onEndpointRemoved} =
    options;

  type Changes = ReturnType<typeof state.directory.update>;

  function logChanges(changes: Changes): void {
    for (const {tag, endpoint} of changes) {
      log.infoAlways(`endpoint ${tag}`, {
        step: 'endpoints',
        peer: endpoint.id,
        service: endpoint.service,
        startedAt: endpoint.startedAt,
        listAge: Math.round(state.endpointFreshness.getAge(getInstant())),
      });
    }
  }

  function notify(changes: readonly object[]): void {
    if (changes.length === 0) return;
    onChange();
    for (const listener of [...state.endpointListeners]) listener();
  }

  /** Services that the evacuations leave without a usable endpoint. */
  function listEmptied(): string[] {
    const services = new Set(
      state.directory.list().map(({service}) => service),
    );
    return [...services].filter(state.directory.isEmptied);
  }

  function applyChanges(changes: Changes, readAt: Instant): void {
    state.endpointFreshness.recordRead(readAt);
    logChanges(changes);
    for (const {tag, endpoint} of changes) {
      if (tag === 'left') onEndpointRemoved(endpoint.id);
      if (tag === 'restarted') options.onEndpointRestarted(endpoint.id);
    }
    options.onEndpointsConfirmed(readAt);
    notify(changes);
  }

  function recordVersion(version: number, peer: string | null): void {
    if (version <= state.newestVersion) return;
    state.newestVersion = version;
    log.infoAlways('newer configuration announced', {
      step: 'configuration',
      peer,
      version,
      before: state.configuration?.version ?? -1,
    });
  }

  return {
    recordPeerVersion: recordVersion,
    recordStoreVersion: (version) => recordVersion(version, null),
    applyConfiguration(next, readAt) {
      const currentVersion = state.configuration?.version ?? -1;
      if (next.version < currentVersion) return;
      if (next.version > currentVersion) {
        state.routes = createRouteTable(next.routes);
        state.configuration = next;
        state.newestVersion = Math.max(state.newestVersion, next.version);
        log.infoAlways('configuration applied', {
          step: 'configuration',
          version: next.version,
          before: currentVersion,
          routes: next.routes.length,
          age: Math.round(getElapsed(readAt, getInstant())),
        });
        onChange();
      }
      // A store that was restored from a copy may have lost the newer one.
      if (next.version < state.newestVersion) return;
      state.configurationFreshness.recordRead(readAt);
    },
    recordLeaving(endpoint) {
      const changes = state.directory.recordLeaving(endpoint, getInstant());
      logChanges(changes);
      notify(changes);
    },
    applyEndpoints(listed, readAt) {
      if (!state.endpointFreshness.isNewer(readAt)) return;
      applyChanges(state.directory.update(listed, getInstant()), readAt);
    },
    applyPeerEndpoints(peerEndpoints, readAt) {
      if (!state.endpointFreshness.isNewer(readAt)) return;
      applyChanges(
        state.directory.updateFromPeer(peerEndpoints, getInstant()),
        readAt,
      );
    },
    applyEvacuations(ordered, readAt) {
      const {evacuations, evacuationFreshness, directory} = state;
      if (evacuations === null || !evacuationFreshness.isNewer(readAt)) return;
      evacuationFreshness.recordRead(readAt);
      const changes = evacuations.update(ordered, readAt);
      if (changes.length > 0) directory.setEvacuated(evacuations.list());
      for (const {tag, failureDomain} of changes) {
        const age = Math.round(getElapsed(readAt, getInstant()));
        metrics.count('evacuations', tag);
        metrics.time('evacuationChange', age);
        log.infoAlways(`evacuation ${tag}`, {
          step: 'evacuation',
          failureDomain,
          endpoints: directory
            .list()
            .filter((endpoint) => endpoint.failureDomain === failureDomain)
            .length,
          evacuated: evacuations.list(),
          emptiedServices: listEmptied(),
          age,
        });
      }
      notify(changes);
    },
  };
}
