import type {Socket} from 'node:net';
import type {Frame} from 'hickorywharf-types/frame';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import type {Connection} from './connection.ts';
import type {ConnectionHandlers} from './connectionHandlers.ts';
import {createFrameReader} from './createFrameReader.ts';
import {encodeFrame} from './encodeFrame.ts';
import {findHelloError} from './findHelloError.ts';
import type {TransportError} from './transportError.ts';
import {TRANSPORT_LIMITS} from './transportLimits.ts';

interface RunConnectionOptions {
  readonly socket: Socket;
  readonly identity: ProcessIdentity;
  readonly handlers: ConnectionHandlers;
  /** Name that the peer must have, or null where any peer may connect. */
  readonly expectedPeer: string | null;
  readonly silenceTimeoutMilliseconds?: number;
}

const {protocolMinimum, protocolMaximum} = TRANSPORT_LIMITS;

/**
 * Speaks the protocol on a socket: hello both ways, then frames. Both ends
 * say hello at once; a peer of another protocol version, or with another name
 * than expected, is refused.
 *
 * @example
 *     runConnection({socket, identity, handlers, expectedPeer: 'desk-1'});
 */
export function runConnection(options: RunConnectionOptions): void {
  const {socket, identity, handlers, expectedPeer} = options;
  const remote = `${socket.remoteAddress}:${socket.remotePort}`;
  const reader = createFrameReader(expectedPeer ?? remote);
  let connection: Connection | null = null;
  // Only bytes of the peer put the end off. The time-out of a Node socket will
  // not do: it starts anew with each write, our own heartbeats included.
  let silence = setTimeout(
    endSilent,
    TRANSPORT_LIMITS.helloTimeoutMilliseconds,
  );

  function report(
    tag: TransportError['tag'],
    step: TransportError['step'],
    message: string,
  ): void {
    const peer = connection?.peer.name ?? expectedPeer ?? remote;
    handlers.onError({tag, step, peer, message});
  }

  function endSilent(): void {
    report('peerSilent', 'receive', 'nothing was heard of the peer');
    socket.destroy();
  }

  function send(frame: Frame): boolean {
    if (socket.destroyed || !socket.writable) return false;
    if (socket.writableLength > TRANSPORT_LIMITS.maximumUnsentBytes) {
      report('peerReadsTooSlowly', 'send', 'too many bytes are unsent');
      socket.destroy();
      return false;
    }
    const bytes = encodeFrame(frame);
    if (bytes.length > TRANSPORT_LIMITS.maximumFrameBytes) {
      // The peer would close the connection, with all that is under way on it.
      report('frameTooLarge', 'send', `a ${frame.tag} frame is over the limit`);
      return false;
    }
    socket.write(bytes);
    return true;
  }

  function takeHello(frame: Frame): void {
    const error = findHelloError(frame, expectedPeer);
    if (error === null && frame.tag === 'hello') {
      clearTimeout(silence);
      silence = setTimeout(
        endSilent,
        options.silenceTimeoutMilliseconds ??
          TRANSPORT_LIMITS.silenceTimeoutMilliseconds,
      );
      connection = {peer: frame.identity, send};
      handlers.onConnected(connection);
      return;
    }
    if (error !== null) report(error.tag, 'connect', error.message);
    if (error?.tag === 'protocolVersion' && frame.tag === 'hello') {
      send({tag: 'helloRefused', protocolMinimum, protocolMaximum});
    }
    socket.end();
  }

  function takeFrame(frame: Frame): void {
    if (socket.destroyed || socket.writableEnded) return;
    if (connection === null) takeHello(frame);
    else handlers.onFrame(connection, frame);
  }

  socket.setNoDelay(true);
  socket.on('error', () => socket.destroy());
  socket.on('data', (bytes) => {
    silence.refresh();
    reader.read(bytes).match(
      (frames) => frames.forEach(takeFrame),
      (error) => {
        handlers.onError(error);
        socket.destroy();
      },
    );
  });
  socket.on('close', () => {
    clearTimeout(silence);
    const ended = connection;
    connection = null;
    if (ended !== null) handlers.onDisconnected(ended);
  });
  send({tag: 'hello', protocolMinimum, protocolMaximum, identity});
}
