import {createConfigurationLog} from 'hickorywharf-decisions/configuration/createConfigurationLog';
import type {ConfigurationView} from 'hickorywharf-decisions/configuration/configurationView';
import {relayPolicies} from 'hickorywharf-decisions/configuration/relayPolicies';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import type {Frame} from 'hickorywharf-types/frame';
import type {ConfigurationReplica} from './configurationReplica.ts';
import {createFrameCounter} from './createFrameCounter.ts';
import {findUnreadableDocuments} from './findUnreadableDocuments.ts';

interface ConfigurationKeeperOptions {
  /** Called each time a newer configuration is in force. */
  readonly onConfigurationChange: (view: ConfigurationView) => void;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  readonly relay: keyof typeof relayPolicies;
}

interface Peer {
  readonly send: (frame: Frame) => boolean;
  /** The newest sequence that the peer is known, or was sent, to have. */
  sequence: number;
}

/** A fetch without an answer for this long may be made from another peer. */
const FETCH_MILLISECONDS = 300;
/** Changes that come within this time are passed on together. */
const ANNOUNCE_MILLISECONDS = 20;
/** Peers are told no more often than this, however many changes come. */
const ANNOUNCE_SPACING_MILLISECONDS = 150;

/**
 * Keeps the configuration in force in one process and passes each change on to
 * the peers that it is connected with. Peers compare sequence numbers with
 * each heartbeat, so that a lost frame is made good.
 *
 * @example
 *     const keeper = createConfigurationReplica({onConfigurationChange, now, relay: 'announce'});
 *     keeper.takeEntries(entries);
 */
export function createConfigurationReplica(
  options: ConfigurationKeeperOptions,
): ConfigurationReplica {
  const {onConfigurationChange: onConfigurationChange, now} = options;
  const relay = relayPolicies[options.relay];
  const log = createConfigurationLog();
  const peers = new Map<string, Peer>();
  const counter = createFrameCounter();
  let fetch = {sequence: 0, at: 0};
  let announcing = false;
  let announcedAt = -Infinity;

  function send(peer: Peer, frame: Frame): boolean {
    const isSent = peer.send(frame);
    if (isSent) counter.countSent(frame);
    return isSent;
  }

  function bringForward(peer: Peer): void {
    if (peer.sequence >= log.sequence) return;
    const frame = log.getUpdateAfter(peer.sequence);
    if (frame !== null && send(peer, frame)) peer.sequence = log.sequence;
  }

  function fetchFrom(peer: Peer): void {
    if (peer.sequence <= log.sequence) return;
    // Another peer was asked for as much and has not failed to answer yet.
    const isAsked =
      fetch.sequence >= peer.sequence && now() - fetch.at < FETCH_MILLISECONDS;
    if (isAsked) return;
    fetch = {sequence: peer.sequence, at: now()};
    send(peer, {tag: 'fetchConfiguration', afterSequence: log.sequence});
  }

  function announceToPeers(): void {
    announcing = false;
    announcedAt = now();
    for (const peer of peers.values()) {
      if (peer.sequence >= log.sequence) continue;
      if (relay.isPushing) bringForward(peer);
      else {
        send(peer, {tag: 'configurationAt', sequence: log.sequence});
      }
    }
  }

  function announce(): void {
    onConfigurationChange(log.getView());
    if (!relay.isRelaying || announcing) return;
    announcing = true;
    const dueAt = announcedAt + ANNOUNCE_SPACING_MILLISECONDS;
    const delay = Math.max(ANNOUNCE_MILLISECONDS, dueAt - now());
    setTimeout(announceToPeers, delay).unref();
  }

  function noteSequence(name: string, sequence: number): void {
    const peer = peers.get(name);
    if (peer === undefined || !relay.isRelaying) return;
    peer.sequence = Math.max(peer.sequence, sequence);
    fetchFrom(peer);
  }

  function takeHeartbeat(name: string, sequence: number): void {
    const peer = peers.get(name);
    if (peer === undefined || !relay.isRelaying) return;
    // What was sent meanwhile and got lost is sent anew.
    peer.sequence = sequence;
    fetchFrom(peer);
    if (sequence < log.sequence && relay.isPushing) bringForward(peer);
  }

  function takeEntries(entries: readonly ConfigurationEntry[]): void {
    if (log.applyEntries(entries)) announce();
  }

  type ConfigurationFrame = Extract<
    Frame,
    {
      tag:
        | 'configuration'
        | 'configurationSnapshot'
        | 'configurationAt'
        | 'fetchConfiguration';
    }
  >;
  type Handlers = {
    [Tag in ConfigurationFrame['tag']]: (
      peer: string,
      frame: Extract<Frame, {tag: Tag}>,
    ) => void;
  };
  const handlers: Handlers = {
    configuration(name, frame) {
      const newest = frame.entries.at(-1)?.sequence ?? 0;
      takeEntries(frame.entries);
      noteSequence(name, newest);
    },
    configurationSnapshot(name, frame) {
      if (log.applySnapshot(frame)) announce();
      noteSequence(name, frame.sequence);
    },
    configurationAt: (name, frame) => noteSequence(name, frame.sequence),
    fetchConfiguration(name, frame) {
      const peer = peers.get(name);
      if (peer === undefined) return;
      peer.sequence = frame.afterSequence;
      bringForward(peer);
    },
  };

  function isConfigurationFrame(frame: Frame): frame is ConfigurationFrame {
    return Object.hasOwn(handlers, frame.tag);
  }

  return {
    get sequence() {
      return log.sequence;
    },
    get hasGap() {
      return log.hasGap();
    },
    dropPendingEntries: log.dropPendingEntries,
    receiveEntries: takeEntries,
    receiveSnapshot(snapshot) {
      if (log.applySnapshot(snapshot)) announce();
    },
    handleFrame(name, frame) {
      if (frame.tag === 'heartbeat') {
        takeHeartbeat(name, frame.configurationSequence);
        return false;
      }
      if (!isConfigurationFrame(frame)) return false;
      counter.countReceived(frame);
      const handler = handlers[frame.tag] as (
        peer: string,
        frame: ConfigurationFrame,
      ) => void;
      handler(name, frame);
      return true;
    },
    addPeer(name, sendFrame) {
      const peer = {send: sendFrame, sequence: log.sequence};
      peers.set(name, peer);
      if (!relay.isRelaying) return;
      send(peer, {tag: 'fetchConfiguration', afterSequence: log.sequence});
    },
    removePeer: (name) => void peers.delete(name),
    getSnapshot: log.getSnapshot,
    getStatus: () => ({
      sequence: log.sequence,
      peers: Array.from(peers, ([name, {sequence}]) => ({name, sequence})),
      unreadable: findUnreadableDocuments(log.getSnapshot().documents),
      ...counter.getCounts(),
    }),
  };
}
