import type {describeMembers} from 'hickorywharf-decisions/membership/describeMembers';
import type {Instance} from 'hickorywharf-types/instance';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';

/** The state that a process serves to operators. */
export interface OperatorsState {
  readonly process: ProcessIdentity;
  readonly configuration: {
    /** The active sequence; 0 before any configuration. */
    readonly sequence: number;
    /** The active sequence of each connected peer, as it last reported. */
    readonly peers: readonly {
      readonly name: string;
      readonly sequence: number;
    }[];
    /** Records that this version cannot read, as `kind/name`. */
    readonly unreadable: readonly string[];
    /** Configuration traffic with other processes since the start. */
    readonly framesSent: number;
    readonly bytesSent: number;
    readonly framesReceived: number;
    readonly bytesReceived: number;
    /** Whether this process currently holds a watch on the store. */
    readonly isWatcher: boolean;
  };
  readonly membership: {
    readonly instances: readonly Instance[];
    readonly leaving: boolean;
    /** The other processes, as this one has observed them itself. */
    readonly observed: ReturnType<typeof describeMembers>;
  };
  /** Unfinished work: requests of an entry, attempts of an endpoint process. */
  readonly queue: {readonly queued: number; readonly running: number};
}
