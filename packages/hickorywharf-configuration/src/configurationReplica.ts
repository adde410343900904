import type {createConfigurationLog} from 'hickorywharf-decisions/configuration/createConfigurationLog';
import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';
import type {Frame} from 'hickorywharf-types/frame';

type ConfigurationLog = ReturnType<typeof createConfigurationLog>;
type Snapshot = Extract<Frame, {tag: 'configurationSnapshot'}>;

/** What a process knows of the configuration, for operators. */
interface KeeperStatus {
  readonly sequence: number;
  /** The sequence in force at each connected peer, as last heard of. */
  readonly peers: readonly {readonly name: string; readonly sequence: number}[];
  /** Records that this version cannot read, as `kind/name`. */
  readonly unreadable: readonly string[];
  readonly framesSent: number;
  readonly bytesSent: number;
  readonly framesReceived: number;
  readonly bytesReceived: number;
}

/** Keeps the configuration in force in one process. */
export interface ConfigurationReplica {
  readonly sequence: number;
  /** Whether entries wait behind one that has not come. */
  readonly hasGap: boolean;
  /** Forgets the entries that wait behind a gap. */
  dropPendingEntries(): void;
  /** Takes entries that were read from the store. */
  receiveEntries(entries: readonly ConfigurationEntry[]): void;
  /** Takes a snapshot that was read from the store. */
  receiveSnapshot(snapshot: Snapshot): void;
  /** Takes a frame of a peer; false where it is not about configuration. */
  handleFrame(peer: string, frame: Frame): boolean;
  addPeer(peer: string, send: (frame: Frame) => boolean): void;
  removePeer(peer: string): void;
  getSnapshot: ConfigurationLog['getSnapshot'];
  getStatus(): KeeperStatus;
}
