import type {describeMembers} from 'hickorywharf-decisions/membership/describeMembers';
import type {Instance} from 'hickorywharf-types/instance';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';

/** What a process shows operators of itself. */
export interface OperatorsState {
  readonly process: ProcessIdentity;
  readonly configuration: {
    /** The sequence in force; 0 before any configuration. */
    readonly sequence: number;
    /** The sequence in force at each connected peer, as last heard of. */
    readonly peers: readonly {
      readonly name: string;
      readonly sequence: number;
    }[];
    /** Records that this version cannot read, as `kind/name`. */
    readonly unreadable: readonly string[];
    readonly framesSent: number;
    readonly bytesSent: number;
    readonly framesReceived: number;
    readonly bytesReceived: number;
    /** Whether this process holds a watch on the store just now. */
    readonly isWatcher: boolean;
  };
  readonly membership: {
    readonly instances: readonly Instance[];
    readonly leaving: boolean;
    /** Other processes as this one has observed them itself. */
    readonly observed: ReturnType<typeof describeMembers>;
  };
  /** Work that is held: requests of an entry, attempts of an endpoint. */
  readonly queue: {readonly queued: number; readonly running: number};
}
