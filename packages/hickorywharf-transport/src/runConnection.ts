import type {Socket} from 'node:net';
import type {Frame} from 'hickorywharf-types/frame';
import type {FrameMemory} from './frameMemory.ts';
import type {ProcessIdentity} from 'hickorywharf-types/processIdentity';
import {createSilenceTimer} from 'hickorywharf-utils/createSilenceTimer';
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
  /** Bounds the frames of all connections together; left out for no bound. */
  readonly memory?: FrameMemory | undefined;
}

const {protocolMinimum, protocolMaximum} = TRANSPORT_LIMITS;

/**
 * Runs the protocol on a socket: both sides send hello immediately, then
 * exchange frames. A peer with an incompatible protocol version or an
 * unexpected name is refused.
 *
 * @example
 *     runConnection({socket, identity, handlers, expectedPeer: 'desk-1'});
 */
export function runConnection(options: RunConnectionOptions): void {
  const {socket, identity, handlers, expectedPeer} = options;
  const remote = `${socket.remoteAddress}:${socket.remotePort}`;
  const reader = createFrameReader(
    expectedPeer ?? remote,
    TRANSPORT_LIMITS.maximumHelloBytes,
  );
  let connection: Connection | null = null;
  const slot = options.memory?.open('arrivingFrame', () => {
    report('peerSentTooMuch', 'receive', 'too many bytes of frames are held');
    socket.destroy();
  });
  let countedBytes = 0;
  // Only received bytes restart this timer. The timeout of a Node socket is
  // unsuitable: each write restarts it, including this process's heartbeats.
  let silenceMilliseconds: number = TRANSPORT_LIMITS.helloTimeoutMilliseconds;
  const silenceTimer = createSilenceTimer(handleSilence);
  silenceTimer.restart(silenceMilliseconds);

  function report(
    tag: TransportError['tag'],
    step: TransportError['step'],
    message: string,
  ): void {
    const peer = connection?.peer.name ?? expectedPeer ?? remote;
    handlers.onError({tag, step, peer, message});
  }

  function handleSilence(): void {
    const missing = connection === null ? 'hello was' : 'bytes were';
    report(
      'peerSilent',
      'receive',
      `no ${missing} received within the timeout`,
    );
    socket.destroy();
  }

  function sendEncoded(bytes: Buffer, tag: Frame['tag']): boolean {
    if (socket.destroyed || !socket.writable) return false;
    if (socket.writableLength > TRANSPORT_LIMITS.maximumUnsentBytes) {
      report('peerReadsTooSlowly', 'send', 'the unsent bytes exceed the limit');
      socket.destroy();
      return false;
    }
    if (bytes.length > TRANSPORT_LIMITS.maximumFrameBytes) {
      // The peer would close the connection and fail everything in flight.
      report('frameTooLarge', 'send', `a ${tag} frame exceeds the size limit`);
      return false;
    }
    socket.write(bytes);
    return true;
  }

  const send = (frame: Frame): boolean =>
    sendEncoded(encodeFrame(frame), frame.tag);

  function handleHello(frame: Frame): void {
    const error = findHelloError(frame, expectedPeer);
    if (error === null && frame.tag === 'hello') {
      silenceMilliseconds =
        options.silenceTimeoutMilliseconds ??
        TRANSPORT_LIMITS.silenceTimeoutMilliseconds;
      silenceTimer.restart(silenceMilliseconds);
      connection = {peer: frame.identity, send, sendEncoded};
      handlers.onConnected(connection);
      return;
    }
    if (error !== null) report(error.tag, 'connect', error.message);
    if (error?.tag === 'protocolVersion' && frame.tag === 'hello') {
      send({tag: 'helloRefused', protocolMinimum, protocolMaximum});
    }
    socket.end();
  }

  function handleFrame(frame: Frame): void {
    if (socket.destroyed || socket.writableEnded) return;
    if (connection === null) handleHello(frame);
    else handlers.onFrame(connection, frame);
  }

  function countPendingBytes(): void {
    const change = reader.pendingBytes - countedBytes;
    // Nearly all frames arrive whole.
    if (change === 0) return;
    countedBytes += change;
    if (change > 0) slot?.add(change);
    else slot?.subtract(-change);
  }

  socket.setNoDelay(true);
  socket.on('error', () => socket.destroy());
  socket.on('data', (bytes) => {
    if (connection !== null) silenceTimer.restart(silenceMilliseconds);
    reader.read(bytes).match(
      (frames) => frames.forEach(handleFrame),
      (error) => {
        handlers.onError(error);
        socket.destroy();
      },
    );
    countPendingBytes();
  });
  socket.on('close', () => {
    silenceTimer.stop();
    slot?.close();
    reader.free();
    const ended = connection;
    connection = null;
    if (ended !== null) handlers.onDisconnected(ended);
  });
  send({tag: 'hello', protocolMinimum, protocolMaximum, identity});
}
