import type {Frame} from 'hickorywharf-types/frame';
import type {Connection} from './connection.ts';
import type {TransportError} from './transportError.ts';

/** What the owner of connections is told. */
export interface ConnectionHandlers {
  /** The peer has said hello and frames can be sent. */
  onConnected(connection: Connection): void;
  onFrame(connection: Connection, frame: Frame): void;
  onDisconnected(connection: Connection): void;
  onError(error: TransportError): void;
}
