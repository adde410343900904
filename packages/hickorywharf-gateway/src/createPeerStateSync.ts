import type {Instant} from 'hickorywharf-decisions/gateway/instant';
import type {Connection} from 'hickorywharf-transport/connection';
import type {Frame} from 'hickorywharf-types/frame';
import type {createStateUpdater} from './createStateUpdater.ts';
import type {GatewayState} from './gatewayState.ts';
import {serializeConfiguration} from './serializeConfiguration.ts';
import {deserializeConfiguration} from './deserializeConfiguration.ts';

interface RelayOptions {
  readonly state: GatewayState;
  readonly beliefs: ReturnType<typeof createStateUpdater>;
  getInstant(): Instant;
  send(peer: string, frame: Frame): boolean;
}

interface BeliefRelay {
  /** Asks another instance; false where it gave no answer in time. */
  fetchState(peer: string): Promise<boolean>;
  /** Whether others asked this instance lately. */
  hasRecentRequests(): boolean;
  /** Takes a frame of an instance that connected here. */
  handleRequest(connection: Connection, frame: Frame): void;
  /** Takes a frame of an instance that this one connected to. */
  handleReply(frame: Frame): void;
}

interface OpenAsk {
  readonly sentAt: Instant;
  finish(isAnswered: boolean): void;
}

/** An instance that lives answers within some milliseconds. */
const ANSWER_MILLISECONDS = 250;
/** Several times as long as the pause between two questions. */
const ASKED_MILLISECONDS = 5000;

function getAge(age: number): number | null {
  return Number.isFinite(age) ? age : null;
}

function goBack({monotonic, wall}: Instant, milliseconds: number): Instant {
  return {monotonic: monotonic - milliseconds, wall: wall - milliseconds};
}

/**
 * Passes what the store confirmed from instance to instance. An answer tells
 * how long ago the store confirmed what it says; the one that asked counts this
 * from the moment of its question, so that no copy looks fresher than it is.
 *
 * @example
 *     const relay = createPeerStateSync({state, beliefs, getInstant, send});
 *     await relay.ask('front-2');
 */
export function createPeerStateSync(options: RelayOptions): BeliefRelay {
  const {state, beliefs, getInstant, send} = options;
  const open = new Map<number, OpenAsk>();
  const underWay = new Map<string, Promise<boolean>>();
  let lastAskId = 0;
  let askedAt = -Infinity;

  function sendAsk(peer: string): Promise<boolean> {
    lastAskId += 1;
    const askId = lastAskId;
    return new Promise((resolve) => {
      const finish = (isAnswered: boolean): void => {
        clearTimeout(timer);
        open.delete(askId);
        resolve(isAnswered);
      };
      const timer = setTimeout(() => finish(false), ANSWER_MILLISECONDS);
      open.set(askId, {sentAt: getInstant(), finish});
      const isSent = send(peer, {
        tag: 'askBeliefs',
        askId,
        version: state.configuration?.version ?? -1,
        endpointsDigest: state.directory.getDigest(),
      });
      if (!isSent) finish(false);
    });
  }

  function describe(ask: Extract<Frame, {tag: 'askBeliefs'}>): Frame {
    const {configuration, directory} = state;
    const now = getInstant();
    const version = configuration?.version ?? -1;
    const isKnown = ask.endpointsDigest === directory.getDigest();
    return {
      tag: 'beliefs',
      askId: ask.askId,
      version,
      configuration:
        configuration === null || version <= ask.version
          ? null
          : serializeConfiguration(configuration),
      configurationAge: getAge(state.configurationFreshness.getAge(now)),
      endpoints: isKnown ? null : directory.list(),
      endpointsAge: getAge(state.endpointFreshness.getAge(now)),
    };
  }

  function take(reply: Extract<Frame, {tag: 'beliefs'}>, sentAt: Instant) {
    const {configurationAge, endpointsAge} = reply;
    const configuration =
      reply.configuration === null
        ? state.configuration
        : deserializeConfiguration(reply.configuration);
    const isSame = configuration?.version === reply.version;
    if (configurationAge !== null && configuration !== null && isSame) {
      const readAt = goBack(sentAt, configurationAge);
      beliefs.applyConfiguration(configuration, readAt);
    }
    if (endpointsAge !== null) {
      const believed = reply.endpoints ?? state.directory.list();
      beliefs.applyPeerEndpoints(believed, goBack(sentAt, endpointsAge));
    }
  }

  return {
    fetchState(peer) {
      const asked =
        underWay.get(peer) ??
        sendAsk(peer).finally(() => underWay.delete(peer));
      underWay.set(peer, asked);
      return asked;
    },
    hasRecentRequests: () =>
      getInstant().monotonic - askedAt < ASKED_MILLISECONDS,
    handleRequest(connection, frame) {
      if (frame.tag !== 'askBeliefs') return;
      askedAt = getInstant().monotonic;
      connection.send(describe(frame));
    },
    handleReply(frame) {
      if (frame.tag !== 'beliefs') return;
      const ask = open.get(frame.askId);
      if (ask === undefined) return;
      take(frame, ask.sentAt);
      ask.finish(true);
    },
  };
}
