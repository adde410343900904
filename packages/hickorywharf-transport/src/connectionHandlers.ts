import type {Frame} from 'hickorywharf-types/frame';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import type {TransportError} from './transportError.ts';

/** What the owner of connections is told. */
export interface ConnectionHandlers {
  /** The peer has said hello and frames can be sent. */
  onUp(peer: ProcessIdentity, send: (frame: Frame) => boolean): void;
  onFrame(peer: ProcessIdentity, frame: Frame): void;
  onDown(peer: ProcessIdentity): void;
  onError(error: TransportError): void;
}
