import type {createConfigurationLog} from 'hickorywharf-decisions/configuration/createConfigurationLog';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import type {Frame} from 'hickorywharf-types/frame';

type ConfigurationLog = ReturnType<typeof createConfigurationLog>;
type Snapshot = Extract<Frame, {tag: 'configurationSnapshot'}>;

/** State of a replica, for operators. */
interface ReplicaStatus {
  readonly sequence: number;
  /**
   * The newest sequence that each connected peer reported or was sent; at first
   * the sequence of this replica.
   */
  readonly peers: readonly {readonly name: string; readonly sequence: number}[];
  /** Records that this program version cannot read, as `kind/name`. */
  readonly unreadable: readonly string[];
  readonly framesSent: number;
  readonly bytesSent: number;
  readonly framesReceived: number;
  readonly bytesReceived: number;
}

/** One process's replica of the configuration log. */
export interface ConfigurationReplica {
  readonly sequence: number;
  /** Whether entries are pending behind a missing one. */
  readonly hasGap: boolean;
  /** Drops the entries that are pending behind a gap. */
  dropPendingEntries(): void;
  /** Applies entries that were read from the store, in any order. */
  receiveEntries(entries: readonly ConfigurationEntry[]): void;
  /** Applies a snapshot that was read from the store if it is newer. */
  receiveSnapshot(snapshot: Snapshot): void;
  /**
   * Handles a frame from a peer. Returns false if the frame also concerns other
   * handlers: a heartbeat, or a frame that is not about configuration.
   */
  handleFrame(peer: string, frame: Frame): boolean;
  /**
   * Adds a connected peer by a name that is unique among the peers, such as its
   * incarnation. `send` returns whether the frame was sent.
   */
  addPeer(peer: string, send: (frame: Frame) => boolean): void;
  removePeer(peer: string): void;
  getSnapshot: ConfigurationLog['getSnapshot'];
  getStatus(): ReplicaStatus;
}
