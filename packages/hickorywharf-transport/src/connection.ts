import type {Frame} from 'hickorywharf-types/frame';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';

/**
 * A connection on which both ends have said hello. A peer that reconnects, or
 * a process that came back under its name, has another connection, so that the
 * end of an old connection is never taken for the end of a new one.
 */
export interface Connection {
  readonly peer: ProcessIdentity;
  /** False only where no byte of the frame was, or will be, written. */
  send(frame: Frame): boolean;
}
