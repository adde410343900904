import type {Socket} from 'node:net';
import type {Frame} from 'hickorywharf-types/frame';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import type {ConnectionHandlers} from './connectionHandlers.ts';
import {createFrameReader} from './createFrameReader.ts';
import {encodeFrame} from './encodeFrame.ts';
import {TRANSPORT_LIMITS} from './transportLimits.ts';

type HelloFrame = Extract<Frame, {tag: 'hello'}>;

function isCompatible(hello: HelloFrame): boolean {
  return (
    hello.protocolMinimum <= TRANSPORT_LIMITS.protocolMaximum &&
    hello.protocolMaximum >= TRANSPORT_LIMITS.protocolMinimum
  );
}

/**
 * Speaks the protocol on a socket: hello both ways, then frames. Both ends
 * say hello at once; a peer of another protocol version is refused.
 *
 * @example
 *     runConnection(socket, identity, handlers);
 */
export function runConnection(
  socket: Socket,
  identity: ProcessIdentity,
  handlers: ConnectionHandlers,
): void {
  const remote = `${socket.remoteAddress}:${socket.remotePort}`;
  const reader = createFrameReader(remote);
  let peer: ProcessIdentity | null = null;
  const {protocolMinimum, protocolMaximum} = TRANSPORT_LIMITS;

  function send(frame: Frame): boolean {
    if (socket.destroyed || !socket.writable) return false;
    if (socket.writableLength > TRANSPORT_LIMITS.maximumUnsentBytes) {
      socket.destroy();
      return false;
    }
    socket.write(encodeFrame(frame));
    return true;
  }

  function takeHello(frame: Frame): void {
    if (frame.tag === 'hello' && isCompatible(frame)) {
      peer = frame.identity;
      socket.setTimeout(TRANSPORT_LIMITS.silenceMilliseconds);
      handlers.onUp(peer, send);
      return;
    }
    const message =
      frame.tag === 'hello' || frame.tag === 'helloRefused'
        ? `the peer speaks versions ${frame.protocolMinimum} to ${frame.protocolMaximum}, this process ${protocolMinimum} to ${protocolMaximum}`
        : 'the first frame is not hello';
    handlers.onError({
      tag: 'protocolVersion',
      step: 'receive',
      peer: remote,
      message,
    });
    if (frame.tag === 'hello') {
      send({tag: 'helloRefused', protocolMinimum, protocolMaximum});
    }
    socket.end();
  }

  function takeFrame(frame: Frame): void {
    if (peer === null) takeHello(frame);
    else handlers.onFrame(peer, frame);
  }

  socket.setNoDelay(true);
  socket.setTimeout(TRANSPORT_LIMITS.helloMilliseconds);
  socket.on('timeout', () => socket.destroy());
  socket.on('error', () => socket.destroy());
  socket.on('data', (bytes) => {
    reader.read(bytes).match(
      (frames) => frames.forEach(takeFrame),
      (error) => {
        handlers.onError(error);
        socket.destroy();
      },
    );
  });
  socket.on('close', () => {
    if (peer !== null) handlers.onDown(peer);
    peer = null;
  });
  send({tag: 'hello', protocolMinimum, protocolMaximum, identity});
}
