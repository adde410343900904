import type {Frame} from 'hickorywharf-types/frame';
import type {Connection} from './connection.ts';
import type {TransportError} from './transportError.ts';

/** Callbacks for the events of connections. */
export interface ConnectionHandlers {
  /** The handshake is complete and frames can be sent. */
  onConnected(connection: Connection): void;
  /** Called in the order in which the peer sent the frames. */
  onFrame(connection: Connection, frame: Frame): void;
  /** Called only for connections that were passed to `onConnected`. */
  onDisconnected(connection: Connection): void;
  /**
   * Called for violations of the protocol and its limits and for TLS errors.
   * Other network errors only close the connection.
   */
  onError(error: TransportError): void;
}
