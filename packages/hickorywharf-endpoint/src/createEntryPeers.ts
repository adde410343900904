import type {Connection} from 'hickorywharf-transport/connection';
import {TRANSPORT_LIMITS} from 'hickorywharf-transport/transportLimits';
import type {Frame} from 'hickorywharf-types/frame';

interface EntryPeersOptions {
  /** A peer stayed away so long that it is taken for gone. */
  readonly onGone: (incarnation: string) => void;
  /** Monotonic milliseconds. */
  readonly getNow: () => number;
}

interface EntryPeers {
  add(connection: Connection): void;
  /** Returns false where the peer has a newer connection already. */
  remove(connection: Connection): boolean;
  /** Sends to an incarnation of an entry; outcomes that fail are noted. */
  send(incarnation: string, frame: Frame, deadlineAt: number): void;
  sendAll(frame: Frame): void;
  /** Whether an entry that may come back still wants an outcome. */
  hasUndelivered(): boolean;
}

interface UndeliveredOutcome {
  readonly incarnation: string;
  readonly deadlineAt: number;
}

const OUTCOME_TAGS: ReadonlySet<Frame['tag']> = new Set([
  'result',
  'refused',
  'failed',
]);

/**
 * The entries that an endpoint process is connected with, by incarnation: an
 * entry that died and came back under its name is another peer, whose dead
 * predecessor is told apart and forgotten.
 *
 * @example
 *     const peers = createEntryPeers({onGone, getNow});
 *     peers.add(connection);
 */
export function createEntryPeers(options: EntryPeersOptions): EntryPeers {
  const connections = new Map<string, Connection>();
  const undelivered = new Map<string, UndeliveredOutcome>();

  function noteOutcome(
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

  function forget(incarnation: string): void {
    if (connections.has(incarnation)) return;
    for (const [key, outcome] of undelivered) {
      if (outcome.incarnation === incarnation) undelivered.delete(key);
    }
    options.onGone(incarnation);
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
        () => forget(incarnation),
        TRANSPORT_LIMITS.silenceTimeoutMilliseconds,
      );
      return true;
    },
    send(incarnation, frame, deadlineAt) {
      const isSent = connections.get(incarnation)?.send(frame) ?? false;
      noteOutcome(incarnation, frame, deadlineAt, isSent);
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
