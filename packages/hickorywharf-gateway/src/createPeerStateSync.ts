import type {Instant} from 'hickorywharf-decisions/gateway/instant';
import {subtractMilliseconds} from 'hickorywharf-decisions/gateway/subtractMilliseconds';
import type {Connection} from 'hickorywharf-transport/connection';
import type {GatewayEndpoint} from 'hickorywharf-types/gateway/gatewayEndpoint';
import type {Frame} from 'hickorywharf-types/frame';
import {createPeerRequests} from './createPeerRequests.ts';
import type {createStateUpdater} from './createStateUpdater.ts';
import {deserializeConfiguration} from './deserializeConfiguration.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import type {GatewayState} from './gatewayState.ts';
import {packConfiguration} from './packConfiguration.ts';
import {reportEvacuations} from './reportEvacuations.ts';
import {unpackConfiguration} from './unpackConfiguration.ts';

interface PeerStateSyncOptions {
  readonly state: GatewayState;
  /** Applies what was fetched to the state of this instance. */
  readonly beliefs: ReturnType<typeof createStateUpdater>;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  getInstant(): Instant;
  /** Sends a frame to a peer by name; false if it could not be sent. */
  send(peer: string, frame: Frame): boolean;
}

interface PeerStateSync {
  /**
   * Fetches the state of a peer by name and applies it, except for a newer
   * configuration, which follows separately. Concurrent fetches from the same
   * peer share one request. False if the request could not be sent or no reply
   * arrived in time; a late reply is still applied.
   */
  fetchState(peer: string): Promise<boolean>;
  /**
   * Waits for the newer configuration of a peer if one is being fetched; for a
   * limited time, after which the fetch continues.
   */
  waitForConfiguration(): Promise<void>;
  /** Whether peers fetched state from this instance recently. */
  hasRecentRequests(): boolean;
  /** Handles a frame of a peer that connected to this instance. */
  handleRequest(connection: Connection, frame: Frame): void;
  /** Handles a frame of a peer that this instance connected to. */
  handleReply(frame: Frame): void;
  /** Drops what was requested from a peer that has disconnected. */
  handleDisconnected(peer: string): void;
}

/**
 * A fetch fails after this time; a peer that is up replies within a few
 * milliseconds.
 */
const REPLY_TIMEOUT_MILLISECONDS = 250;
/**
 * How long a newer configuration is waited for before the store is read, which
 * sends it without compression.
 */
const CONFIGURATION_TIMEOUT_MILLISECONDS = 1000;
/**
 * How long a request of a peer counts as recent. It is several times the
 * interval at which a peer fetches state.
 */
const RECENT_REQUEST_MILLISECONDS = 5000;

/** Frames have null for the infinite age before the first read of the store. */
function toFiniteAge(age: number): number | null {
  return Number.isFinite(age) ? age : null;
}

/** Instances of older builds send no version. */
function fillVersion(endpoint: GatewayEndpoint): GatewayEndpoint {
  const {version = ''} = endpoint as Partial<GatewayEndpoint>;
  return {...endpoint, version};
}

/**
 * Exchanges configuration, endpoints and evacuations between instances, so that not every
 * instance has to read the store. A reply says how long ago the store confirmed
 * its data; the receiver subtracts this age from the time at which it sent the
 * request, so that no copy looks fresher than it is.
 *
 * A newer configuration is requested separately and sent once and compressed,
 * since it may occupy a slow link for long: meanwhile the small replies confirm
 * the rest of the state.
 *
 * @example
 *     const sync = createPeerStateSync(options);
 *     await sync.fetchState('front-2'); // true if it has replied in time
 */
export function createPeerStateSync(
  options: PeerStateSyncOptions,
): PeerStateSync {
  const {state, beliefs: stateUpdater, log, metrics} = options;
  const {getInstant, send} = options;
  /** Peers whose last fetch timed out. */
  const timedOutPeers = new Set<string>();
  /** The configuration as last sent to a peer. */
  let packed: {version: number; content: Buffer} | null = null;
  let lastRequestAt = -Infinity;

  function handleTimeout(peer: string): void {
    metrics.count('peerFetches', 'timedOut');
    if (timedOutPeers.has(peer)) return;
    timedOutPeers.add(peer);
    log.infoAlways('peer state not received', {
      step: 'relay',
      peer,
      timeout: REPLY_TIMEOUT_MILLISECONDS,
      version: state.configuration?.version ?? null,
    });
  }

  const stateRequests = createPeerRequests({
    timeoutMilliseconds: REPLY_TIMEOUT_MILLISECONDS,
    getInstant,
    send,
    onUnsent: () => metrics.count('peerFetches', 'unsent'),
    onTimeout: handleTimeout,
  });
  const configurationRequests = createPeerRequests({
    timeoutMilliseconds: CONFIGURATION_TIMEOUT_MILLISECONDS,
    getInstant,
    send,
    onUnsent: () => metrics.count('configurationFetches', 'unsent'),
    onTimeout: () => metrics.count('configurationFetches', 'timedOut'),
  });
  type Request = NonNullable<ReturnType<typeof stateRequests.take>>;

  /** Waits for a configuration from any peer, as it would use the same link. */
  function fetchConfiguration(peer: string): Promise<boolean> {
    const source = configurationRequests.findPendingPeer() ?? peer;
    return configurationRequests.request(source, (askId) => ({
      tag: 'askConfiguration',
      askId,
    }));
  }

  function recordReply({peer, sentAt, isLate}: Request, version: number): void {
    const elapsed = getInstant().monotonic - sentAt.monotonic;
    metrics.count('peerFetches', isLate ? 'late' : 'replied');
    metrics.time('peerFetch', elapsed);
    if (isLate || !timedOutPeers.delete(peer)) return;
    log.infoAlways('peer state received again', {
      step: 'relay',
      peer,
      milliseconds: Math.round(elapsed),
      version,
    });
  }

  /** Leaves out the endpoints that the requester has. */
  function createStateReply(
    request: Extract<Frame, {tag: 'askBeliefs'}>,
  ): Frame {
    const {configuration, directory} = state;
    const now = getInstant();
    const isKnown = request.endpointsDigest === directory.getDigest();
    return {
      tag: 'beliefs',
      askId: request.askId,
      version: configuration?.version ?? -1,
      configuration: null,
      configurationAge: toFiniteAge(state.configurationFreshness.getAge(now)),
      endpoints: isKnown ? null : directory.list(),
      endpointsAge: toFiniteAge(state.endpointFreshness.getAge(now)),
      ...reportEvacuations(state, now),
    };
  }

  function createConfigurationReply(
    request: Extract<Frame, {tag: 'askConfiguration'}>,
  ): Frame {
    const {configuration} = state;
    if (configuration !== null && packed?.version !== configuration.version) {
      const content = packConfiguration(configuration);
      packed = {version: configuration.version, content};
    }
    const age = state.configurationFreshness.getAge(getInstant());
    return {
      tag: 'packedConfiguration',
      askId: request.askId,
      content: packed?.content ?? null,
      age: toFiniteAge(age),
    };
  }

  function applyState(
    reply: Extract<Frame, {tag: 'beliefs'}>,
    {peer, frame: request, sentAt}: Request,
  ): void {
    const {configurationAge, endpointsAge, evacuations} = reply;
    if (evacuations !== undefined) {
      stateUpdater.applyEvacuations(
        evacuations.failureDomains,
        subtractMilliseconds(sentAt, evacuations.ageMilliseconds),
      );
    }
    // Instances of earlier releases send a newer configuration in this frame.
    const configuration =
      reply.configuration === null
        ? state.configuration
        : deserializeConfiguration(reply.configuration);
    const version = configuration?.version ?? -1;
    stateUpdater.recordPeerVersion(reply.version, peer);
    if (reply.version > version) void fetchConfiguration(peer);
    // The reply confirms the configuration of this instance only if it has the
    // same version.
    const isSame = version === reply.version;
    if (configurationAge !== null && configuration !== null && isSame) {
      const readAt = subtractMilliseconds(sentAt, configurationAge);
      stateUpdater.applyConfiguration(configuration, readAt);
    }
    // Without a list, the peer's equals the one that this instance had when it
    // sent the request, and may have replaced since.
    const isKnown =
      request.tag === 'askBeliefs' &&
      request.endpointsDigest === state.directory.getDigest();
    const peerEndpoints =
      reply.endpoints?.map(fillVersion) ??
      (isKnown ? state.directory.list() : null);
    if (endpointsAge !== null && peerEndpoints !== null) {
      stateUpdater.applyPeerEndpoints(
        peerEndpoints,
        subtractMilliseconds(sentAt, endpointsAge),
      );
    }
  }

  function applyConfiguration(
    {content, age}: Extract<Frame, {tag: 'packedConfiguration'}>,
    {peer, sentAt, isLate}: Request,
  ): void {
    // A peer has neither before its first read of the store.
    if (content === null || age === null) return;
    const elapsed = getInstant().monotonic - sentAt.monotonic;
    metrics.count('configurationFetches', isLate ? 'late' : 'received');
    metrics.time('configurationFetch', elapsed);
    unpackConfiguration(content).match(
      (configuration) =>
        stateUpdater.applyConfiguration(
          configuration,
          subtractMilliseconds(sentAt, age),
        ),
      (reason) => {
        metrics.count('configurationFetches', 'invalid');
        log.infoAlways('configuration of a peer not readable', {
          step: 'relay',
          peer,
          reason,
        });
      },
    );
  }

  return {
    fetchState: (peer) =>
      stateRequests.request(peer, (askId) => ({
        tag: 'askBeliefs',
        askId,
        version: state.configuration?.version ?? -1,
        endpointsDigest: state.directory.getDigest(),
      })),
    async waitForConfiguration() {
      const peer = configurationRequests.findPendingPeer();
      if (peer !== undefined) await fetchConfiguration(peer);
    },
    hasRecentRequests: () =>
      getInstant().monotonic - lastRequestAt < RECENT_REQUEST_MILLISECONDS,
    handleRequest(connection, frame) {
      if (frame.tag === 'askConfiguration') {
        connection.send(createConfigurationReply(frame));
      }
      if (frame.tag !== 'askBeliefs') return;
      lastRequestAt = getInstant().monotonic;
      stateUpdater.recordPeerVersion(frame.version, connection.peer.name);
      connection.send(createStateReply(frame));
    },
    handleReply(frame) {
      if (frame.tag === 'beliefs') {
        const request = stateRequests.take(frame.askId);
        if (request === undefined) return;
        recordReply(request, frame.version);
        applyState(frame, request);
        request.finish();
      }
      if (frame.tag === 'packedConfiguration') {
        const request = configurationRequests.take(frame.askId);
        if (request === undefined) return;
        applyConfiguration(frame, request);
        request.finish();
      }
    },
    handleDisconnected(peer) {
      stateRequests.drop(peer);
      configurationRequests.drop(peer);
    },
  };
}
