import type {Instant} from 'hickorywharf-decisions/gateway/instant';
import type {Connection} from 'hickorywharf-transport/connection';
import type {Frame} from 'hickorywharf-types/frame';
import type {createStateUpdater} from './createStateUpdater.ts';
import {deserializeConfiguration} from './deserializeConfiguration.ts';
import type {GatewayLog} from './gatewayLog.ts';
import type {GatewayMetrics} from './gatewayMetrics.ts';
import type {GatewayState} from './gatewayState.ts';
import {serializeConfiguration} from './serializeConfiguration.ts';

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
   * Fetches the state of a peer by name and applies it. Concurrent fetches from
   * the same peer share one request. False if the request could not be sent or
   * no reply arrived in time.
   */
  fetchState(peer: string): Promise<boolean>;
  /** Whether peers fetched state from this instance recently. */
  hasRecentRequests(): boolean;
  /** Handles a frame of a peer that connected to this instance. */
  handleRequest(connection: Connection, frame: Frame): void;
  /** Handles a frame of a peer that this instance connected to. */
  handleReply(frame: Frame): void;
}

interface PendingRequest {
  readonly peer: string;
  readonly sentAt: Instant;
  finish(hasReply: boolean): void;
}

/**
 * A fetch fails after this time; a peer that is up replies within a few
 * milliseconds.
 */
const REPLY_TIMEOUT_MILLISECONDS = 250;
/**
 * How long a request of a peer counts as recent. It is several times the
 * interval at which a peer fetches state.
 */
const RECENT_REQUEST_MILLISECONDS = 5000;

/** Frames have null for the infinite age before the first read of the store. */
function toFiniteAge(age: number): number | null {
  return Number.isFinite(age) ? age : null;
}

function subtractMilliseconds(
  {monotonic, wall}: Instant,
  milliseconds: number,
): Instant {
  return {monotonic: monotonic - milliseconds, wall: wall - milliseconds};
}

/**
 * Exchanges configuration and endpoints between instances, so that not every
 * instance has to read the store. A reply says how long ago the store confirmed
 * its data; the receiver subtracts this age from the time at which it sent the
 * request, so that no copy looks fresher than it is.
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
  const pendingRequests = new Map<number, PendingRequest>();
  const inFlight = new Map<string, Promise<boolean>>();
  /** Peers whose last fetch timed out. */
  const timedOutPeers = new Set<string>();
  let lastRequestId = 0;
  let lastRequestAt = -Infinity;

  function recordTimeout(peer: string): void {
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

  function recordReply({peer, sentAt}: PendingRequest, version: number): void {
    const elapsed = getInstant().monotonic - sentAt.monotonic;
    metrics.count('peerFetches', 'replied');
    metrics.time('peerFetch', elapsed);
    if (!timedOutPeers.delete(peer)) return;
    log.infoAlways('peer state received again', {
      step: 'relay',
      peer,
      milliseconds: Math.round(elapsed),
      version,
    });
  }

  function sendRequest(peer: string): Promise<boolean> {
    lastRequestId += 1;
    const askId = lastRequestId;
    return new Promise((resolve) => {
      const finish = (hasReply: boolean): void => {
        clearTimeout(timer);
        pendingRequests.delete(askId);
        resolve(hasReply);
      };
      const timer = setTimeout(() => {
        recordTimeout(peer);
        finish(false);
      }, REPLY_TIMEOUT_MILLISECONDS);
      pendingRequests.set(askId, {peer, sentAt: getInstant(), finish});
      const isSent = send(peer, {
        tag: 'askBeliefs',
        askId,
        version: state.configuration?.version ?? -1,
        endpointsDigest: state.directory.getDigest(),
      });
      if (isSent) return;
      metrics.count('peerFetches', 'unsent');
      finish(false);
    });
  }

  /** Leaves out the configuration and the endpoints that the requester has. */
  function createReply(request: Extract<Frame, {tag: 'askBeliefs'}>): Frame {
    const {configuration, directory} = state;
    const now = getInstant();
    const version = configuration?.version ?? -1;
    const isKnown = request.endpointsDigest === directory.getDigest();
    return {
      tag: 'beliefs',
      askId: request.askId,
      version,
      configuration:
        configuration === null || version <= request.version
          ? null
          : serializeConfiguration(configuration),
      configurationAge: toFiniteAge(state.configurationFreshness.getAge(now)),
      endpoints: isKnown ? null : directory.list(),
      endpointsAge: toFiniteAge(state.endpointFreshness.getAge(now)),
    };
  }

  function applyReply(
    reply: Extract<Frame, {tag: 'beliefs'}>,
    sentAt: Instant,
  ) {
    const {configurationAge, endpointsAge} = reply;
    const configuration =
      reply.configuration === null
        ? state.configuration
        : deserializeConfiguration(reply.configuration);
    // Without a configuration, the reply confirms the one of this instance only
    // if it has the same version.
    const isSame = configuration?.version === reply.version;
    if (configurationAge !== null && configuration !== null && isSame) {
      const readAt = subtractMilliseconds(sentAt, configurationAge);
      stateUpdater.applyConfiguration(configuration, readAt);
    }
    if (endpointsAge !== null) {
      // Null if the peer's list equals the one that this instance had.
      const peerEndpoints = reply.endpoints ?? state.directory.list();
      stateUpdater.applyPeerEndpoints(
        peerEndpoints,
        subtractMilliseconds(sentAt, endpointsAge),
      );
    }
  }

  return {
    fetchState(peer) {
      const fetching =
        inFlight.get(peer) ??
        sendRequest(peer).finally(() => inFlight.delete(peer));
      inFlight.set(peer, fetching);
      return fetching;
    },
    hasRecentRequests: () =>
      getInstant().monotonic - lastRequestAt < RECENT_REQUEST_MILLISECONDS,
    handleRequest(connection, frame) {
      if (frame.tag !== 'askBeliefs') return;
      lastRequestAt = getInstant().monotonic;
      connection.send(createReply(frame));
    },
    handleReply(frame) {
      if (frame.tag !== 'beliefs') return;
      const request = pendingRequests.get(frame.askId);
      if (request === undefined) {
        metrics.count('peerFetches', 'late');
        return;
      }
      recordReply(request, frame.version);
      applyReply(frame, request.sentAt);
      request.finish(true);
    },
  };
}
