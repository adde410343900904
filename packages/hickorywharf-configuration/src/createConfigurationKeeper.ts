import {createConfigurationLog} from 'hickorywharf-decisions/configuration/createConfigurationLog';
import type {ConfigurationView} from 'hickorywharf-decisions/configuration/configurationView';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import type {Frame} from 'hickorywharf-types/frame';

interface ConfigurationKeeperOptions {
  /** Called each time a newer configuration is in force. */
  readonly onInForce: (view: ConfigurationView) => void;
}

interface ConfigurationKeeper {
  readonly sequence: number;
  /** Takes entries that were read from the store. */
  takeEntries(entries: readonly ConfigurationEntry[]): void;
  /** Takes a frame of a peer; false where it is not about configuration. */
  takeFrame(peer: string, frame: Frame): boolean;
  addPeer(peer: string, send: (frame: Frame) => boolean): void;
  removePeer(peer: string): void;
}

interface Peer {
  readonly send: (frame: Frame) => boolean;
  /** The newest sequence that the peer is known, or was sent, to have. */
  sequence: number;
}

/**
 * Keeps the configuration in force in one process and passes each change on to
 * the peers that it is connected with. Peers compare sequence numbers with
 * each heartbeat, so that a lost frame is made good.
 *
 * @example
 *     const keeper = createConfigurationKeeper({onInForce});
 *     keeper.takeEntries(entries);
 */
export function createConfigurationKeeper(
  options: ConfigurationKeeperOptions,
): ConfigurationKeeper {
  const log = createConfigurationLog();
  const peers = new Map<string, Peer>();

  function bringForward(peer: Peer): void {
    if (peer.sequence >= log.sequence) return;
    const frame = log.getSince(peer.sequence);
    if (frame !== null && peer.send(frame)) peer.sequence = log.sequence;
  }

  function announce(): void {
    options.onInForce(log.getView());
    for (const peer of peers.values()) bringForward(peer);
  }

  function noteSequence(name: string, sequence: number): void {
    const peer = peers.get(name);
    if (peer === undefined) return;
    peer.sequence = sequence;
    bringForward(peer);
    if (sequence > log.sequence) {
      peer.send({tag: 'fetchConfiguration', afterSequence: log.sequence});
    }
  }

  function takeEntries(entries: readonly ConfigurationEntry[]): void {
    if (log.applyEntries(entries)) announce();
  }

  return {
    get sequence() {
      return log.sequence;
    },
    takeEntries,
    takeFrame(peer, frame) {
      switch (frame.tag) {
        case 'configuration': {
          const newest = frame.entries.at(-1)?.sequence ?? 0;
          const known = peers.get(peer);
          if (known !== undefined) {
            known.sequence = Math.max(known.sequence, newest);
          }
          takeEntries(frame.entries);
          return true;
        }
        case 'configurationSnapshot': {
          const known = peers.get(peer);
          if (known !== undefined) {
            known.sequence = Math.max(known.sequence, frame.sequence);
          }
          if (log.applySnapshot(frame)) announce();
          return true;
        }
        case 'fetchConfiguration':
          noteSequence(peer, frame.afterSequence);
          return true;
        case 'heartbeat':
          noteSequence(peer, frame.configurationSequence);
          return false;
        default:
          return false;
      }
    },
    addPeer(name, send) {
      peers.set(name, {send, sequence: 0});
      const peer = peers.get(name)!;
      peer.sequence = log.sequence;
      send({tag: 'fetchConfiguration', afterSequence: log.sequence});
    },
    removePeer(name) {
      peers.delete(name);
    },
  };
}
