import {createConfigurationLog} from 'hickorywharf-decisions/configuration/createConfigurationLog';
import type {ConfigurationView} from 'hickorywharf-decisions/configuration/configurationView';
import {relayPolicies} from 'hickorywharf-decisions/configuration/relayPolicies';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import type {Frame} from 'hickorywharf-types/frame';
import type {ConfigurationReplica} from './configurationReplica.ts';
import {createFrameCounter} from './createFrameCounter.ts';
import {findUnreadableDocuments} from './findUnreadableDocuments.ts';

interface ConfigurationReplicaOptions {
  /** Called each time a newer configuration becomes active. */
  readonly onConfigurationChange: (view: ConfigurationView) => void;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
  readonly relay: keyof typeof relayPolicies;
}

interface Peer {
  readonly send: (frame: Frame) => boolean;
  /** The newest sequence that the peer reported or was sent. */
  sequence: number;
  /** The last update that was sent and that the peer has not reported. */
  update: Transfer | null;
}

/** Something requested or sent that has not shown an effect yet. */
interface Transfer {
  /** Monotonic time in milliseconds. */
  readonly startedAt: number;
  /** After this time it is requested or sent again. */
  readonly timeoutMilliseconds: number;
}

/**
 * Time without an effect after which a request or an update is sent again. It
 * doubles with each repetition: a large configuration takes long on a slow
 * link, where repetitions delay it further.
 */
const REPEAT_MILLISECONDS = 300;
const MAXIMUM_REPEAT_MILLISECONDS = 5000;
/** Changes within this time are announced together. */
const ANNOUNCE_DELAY_MILLISECONDS = 20;
/** Minimum time between announcements, however many changes arrive. */
const ANNOUNCE_INTERVAL_MILLISECONDS = 150;

/**
 * Creates one process's replica of the configuration log, which propagates each
 * change to the connected peers. Heartbeats carry the sender's sequence number,
 * so that a lost frame is detected and sent again.
 *
 * @example
 *     const replica = createConfigurationReplica({onConfigurationChange, now,
 *       relay: 'announce'});
 *     replica.receiveEntries(entries);
 */
export function createConfigurationReplica(
  options: ConfigurationReplicaOptions,
): ConfigurationReplica {
  const {onConfigurationChange, now} = options;
  const relay = relayPolicies[options.relay];
  const log = createConfigurationLog();
  const peers = new Map<string, Peer>();
  const counter = createFrameCounter();
  /** The last request for a newer configuration, until one arrives. */
  let fetch: (Transfer & {readonly peer: Peer}) | null = null;
  let isAnnouncing = false;
  let announcedAt = -Infinity;

  function send(peer: Peer, frame: Frame): boolean {
    const isSent = peer.send(frame);
    if (isSent) counter.countSent(frame);
    return isSent;
  }

  function isInTransit(transfer: Transfer | null): boolean {
    return (
      transfer !== null &&
      now() - transfer.startedAt < transfer.timeoutMilliseconds
    );
  }

  function startTransfer(previous: Transfer | null): Transfer {
    const timeoutMilliseconds =
      previous === null
        ? REPEAT_MILLISECONDS
        : Math.min(
            previous.timeoutMilliseconds * 2,
            MAXIMUM_REPEAT_MILLISECONDS,
          );
    return {startedAt: now(), timeoutMilliseconds};
  }

  function updatePeer(peer: Peer): void {
    if (peer.sequence >= log.sequence) return;
    const frame = log.getUpdateAfter(peer.sequence);
    if (frame === null || !send(peer, frame)) return;
    peer.sequence = log.sequence;
    peer.update = startTransfer(peer.update);
  }

  function fetchFrom(peer: Peer): void {
    if (peer.sequence <= log.sequence || isInTransit(fetch)) return;
    fetch = {...startTransfer(fetch), peer};
    send(peer, {tag: 'fetchConfiguration', afterSequence: log.sequence});
  }

  function announceToPeers(): void {
    isAnnouncing = false;
    announcedAt = now();
    for (const peer of peers.values()) {
      if (peer.sequence >= log.sequence) continue;
      if (relay.isPushing) updatePeer(peer);
      else {
        send(peer, {tag: 'configurationAt', sequence: log.sequence});
      }
    }
  }

  function handleAdvance(): void {
    fetch = null;
    onConfigurationChange(log.getView());
    if (!relay.isRelaying || isAnnouncing) return;
    isAnnouncing = true;
    const dueAt = announcedAt + ANNOUNCE_INTERVAL_MILLISECONDS;
    const delay = Math.max(ANNOUNCE_DELAY_MILLISECONDS, dueAt - now());
    setTimeout(announceToPeers, delay).unref();
  }

  function raisePeerSequence(name: string, sequence: number): void {
    const peer = peers.get(name);
    if (peer === undefined || !relay.isRelaying) return;
    peer.sequence = Math.max(peer.sequence, sequence);
    fetchFrom(peer);
  }

  /** Requests what peers announced while the last request was in transit. */
  function fetchRest(): void {
    for (const peer of peers.values()) fetchFrom(peer);
  }

  function handleHeartbeat(name: string, sequence: number): void {
    const peer = peers.get(name);
    if (peer === undefined || !relay.isRelaying) return;
    if (sequence >= log.sequence) peer.update = null;
    // The peer may not have received an update yet that was sent to it.
    if (sequence < peer.sequence && isInTransit(peer.update)) return;
    // This may lower the sequence, so that lost frames are sent again.
    peer.sequence = sequence;
    fetchFrom(peer);
    if (sequence < log.sequence && relay.isPushing) updatePeer(peer);
  }

  function receiveEntries(entries: readonly ConfigurationEntry[]): void {
    if (log.applyEntries(entries)) handleAdvance();
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
      receiveEntries(frame.entries);
      raisePeerSequence(name, newest);
      fetchRest();
    },
    configurationSnapshot(name, frame) {
      if (log.applySnapshot(frame)) handleAdvance();
      raisePeerSequence(name, frame.sequence);
      fetchRest();
    },
    configurationAt: (name, frame) => raisePeerSequence(name, frame.sequence),
    fetchConfiguration(name, frame) {
      const peer = peers.get(name);
      if (peer === undefined) return;
      peer.sequence = frame.afterSequence;
      updatePeer(peer);
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
    receiveEntries,
    receiveSnapshot(snapshot) {
      if (log.applySnapshot(snapshot)) handleAdvance();
    },
    handleFrame(name, frame) {
      if (frame.tag === 'heartbeat') {
        handleHeartbeat(name, frame.configurationSequence);
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
      const peer = {send: sendFrame, sequence: log.sequence, update: null};
      peers.set(name, peer);
      if (!relay.isRelaying) return;
      send(peer, {tag: 'fetchConfiguration', afterSequence: log.sequence});
    },
    removePeer(name) {
      if (fetch !== null && fetch.peer === peers.get(name)) fetch = null;
      peers.delete(name);
    },
    getSnapshot: log.getSnapshot,
    getStatus: () => ({
      sequence: log.sequence,
      peers: Array.from(peers, ([name, {sequence}]) => ({name, sequence})),
      unreadable: findUnreadableDocuments(log.getSnapshot().documents),
      ...counter.getCounts(),
    }),
  };
}
