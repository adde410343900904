import type {Frame} from 'hickorywharf-types/frame';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';

/**
 * A connection whose hello handshake is complete. A peer that reconnects or
 * restarts under the same name gets a new connection object, so that the close
 * of an old connection is never mistaken for that of a new one.
 */
export interface Connection {
  readonly peer: ProcessIdentity;
  /** Returns false only if no byte of the frame was or will be written. */
  send(frame: Frame): boolean;
  /**
   * Sends a frame that was encoded before, for several connections; false as
   * with `send`.
   */
  sendEncoded(bytes: Buffer, tag: Frame['tag']): boolean;
}
