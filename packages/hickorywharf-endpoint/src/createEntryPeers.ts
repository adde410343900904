import type {Connection} from 'hickorywharf-transport/connection';
import {TRANSPORT_LIMITS} from 'hickorywharf-transport/transportLimits';
import type {Frame} from 'hickorywharf-types/frame';

interface EntryPeersOptions {
  /** Called once a peer has been disconnected for the silence timeout. */
  readonly onPeerRemoved: (incarnation: string) => void;
  /** Monotonic milliseconds. */
  readonly getNow: () => number;
}

interface EntryPeers {
  /** Replaces an earlier connection of the same incarnation. */
  add(connection: Connection): void;
  /**
   * Removes a closed connection. Returns false, and changes nothing, if the
   * peer already has a newer one.
   */
  remove(connection: Connection): boolean;
  /**
   * Sends to an incarnation of an entry. An outcome that could not be sent
   * counts as undelivered until it is sent, the peer is removed or
   * `deadlineAt`, in monotonic milliseconds, has passed.
   */
  send(incarnation: string, frame: Frame, deadlineAt: number): void;
  /** Sends to every connected entry. */
  sendAll(frame: Frame): void;
  /** Whether an entry that may reconnect still needs an outcome. */
  hasUndelivered(): boolean;
}

/** An outcome that could not be sent. */
interface UndeliveredOutcome {
  readonly incarnation: string;
  /** Monotonic milliseconds. */
  readonly deadlineAt: number;
}

const OUTCOME_TAGS: ReadonlySet<Frame['tag']> = new Set([
  'result',
  'refused',
  'failed',
]);

/**
 * Manages the connections from entries by incarnation: an entry that restarts
 * under the same name is a different peer. A peer that does not reconnect
 * within the silence timeout is removed.
 *
 * @example
 *     const peers = createEntryPeers({onPeerRemoved, getNow});
 *     peers.add(connection);
 *     peers.hasUndelivered(); // false
 */
export function createEntryPeers(options: EntryPeersOptions): EntryPeers {
  const connections = new Map<string, Connection>();
  const undelivered = new Map<string, UndeliveredOutcome>();

  function trackDelivery(
    incarnation: string,
    frame: Frame,
    deadlineAt: number,
    isSent: boolean,
  ): void {
    if (!OUTCOME_TAGS.has(frame.tag) || !('attemptId' in frame)) return;
    const key = `${incarnation}/${frame.attemptId}`;
    if (isSent) undelivered.delete(key);
    else undelivered.set(key, {incarnation, deadlineAt});
  }

  function removePeer(incarnation: string): void {
    if (connections.has(incarnation)) return;
    for (const [key, outcome] of undelivered) {
      if (outcome.incarnation === incarnation) undelivered.delete(key);
    }
    options.onPeerRemoved(incarnation);
  }

  return {
    add(connection) {
      connections.set(connection.peer.incarnation, connection);
    },
    remove(connection) {
      const {incarnation} = connection.peer;
      if (connections.get(incarnation) !== connection) return false;
      connections.delete(incarnation);
      setTimeout(
        () => removePeer(incarnation),
        TRANSPORT_LIMITS.silenceTimeoutMilliseconds,
      );
      return true;
    },
    send(incarnation, frame, deadlineAt) {
      const isSent = connections.get(incarnation)?.send(frame) ?? false;
      trackDelivery(incarnation, frame, deadlineAt, isSent);
    },
    sendAll(frame) {
      for (const connection of connections.values()) connection.send(frame);
    },
    hasUndelivered() {
      const now = options.getNow();
      for (const [key, {deadlineAt}] of undelivered) {
        if (deadlineAt <= now) undelivered.delete(key);
      }
      return undelivered.size > 0;
    },
  };
}
