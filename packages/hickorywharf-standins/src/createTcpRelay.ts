import {connect, createServer, type Socket} from 'node:net';
import {listenOn} from 'hickorywharf-utils/listenOn';
import {resetSocket} from 'hickorywharf-utils/resetSocket';
import {sleep} from 'hickorywharf-utils/sleep';
import type {Link} from './link.ts';

/** How a relay forwards the bytes of its connections. */
type RelayMode = 'pass' | 'delay' | 'hold';

interface TcpRelay {
  readonly port: number;
  /** Sets the port that new connections are forwarded to. */
  setTarget(port: number): void;
  /**
   * Sets the mode; any mode except `hold` delivers the held bytes.
   *
   * @param passedBytes how many bytes `hold` lets through first, in each
   *   direction of each connection
   */
  setMode(mode: RelayMode, passedBytes?: number): void;
  /** Resets every open connection. */
  reset(): void;
  /** Resets every open connection and refuses new ones until `start`. */
  stop(): void;
  /** Accepts connections at the same port again. */
  start(): Promise<void>;
  /** Closes the sending direction towards one side of every connection. */
  halfClose(side: 'client' | 'server'): void;
  close(): void;
}

interface TcpRelayOptions {
  readonly address: string;
  readonly delayMilliseconds: number;
  /** The link over which the server's bytes reach the clients. */
  readonly downlink?: Link;
}

interface RelayedConnection {
  readonly client: Socket;
  readonly server: Socket;
}

const RETRY_MILLISECONDS = 50;
const READ_BUFFER_BYTES = 65_536;
/** What a link delivers at a time: the payload of an Ethernet packet. */
const PACKET_BYTES = 1460;
/** Most bytes of one direction that wait for the mode or the receiver. */
const QUEUE_BYTES = 1_000_000;

function splitIntoPackets(bytes: Buffer): Buffer[] {
  const count = Math.ceil(bytes.length / PACKET_BYTES);
  return Array.from({length: count}, (_value, index) =>
    bytes.subarray(index * PACKET_BYTES, (index + 1) * PACKET_BYTES),
  );
}

/** Resolves when the socket can take more bytes, or is closed. */
function waitForDrain(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    const finish = () => {
      socket.off('drain', finish).off('close', finish);
      resolve();
    };
    socket.on('drain', finish).on('close', finish);
  });
}

/**
 * Creates a TCP relay to a port of the same address that can delay, hold, reset
 * and half-close its connections. It forwards ends and resets as such, and reads
 * no faster than the receiver does. The caller owns it and closes it.
 *
 * @example
 *     const relay = await createTcpRelay({address: '127.0.0.1', delayMilliseconds: 300});
 *     relay.setTarget(9000);
 */
export async function createTcpRelay(
  options: TcpRelayOptions,
): Promise<TcpRelay> {
  const {address, delayMilliseconds, downlink} = options;
  const connections = new Set<RelayedConnection>();
  const held = new Set<() => void>();
  let targetPort = 0;
  let mode: RelayMode = 'pass';
  /** The limit of bytes that pass, of the mode that was set last. */
  let lastLimit = {bytes: 0};

  /** Forwards one direction; a queue keeps its bytes, end and reset in order. */
  function createForwarder(to: Socket, link?: Link) {
    let queue = Promise.resolve();
    let queuedBytes = 0;
    let limit = lastLimit;
    let passedBytes = 0;
    const enqueue = (
      task: () => Promise<void> | void,
      modeDelay = waitForMode(),
    ) => {
      queue = queue.then(() => modeDelay).then(task);
    };
    /** All packets are put on the link at once, before those of others. */
    const sendPackets = (bytes: Buffer) =>
      (link === undefined ? [bytes] : splitIntoPackets(bytes)).map(
        (packet) => ({
          packet,
          // Bytes of a connection that is closed do not use the link.
          sent: to.destroyed ? undefined : link?.send(packet.length),
        }),
      );
    /** Counts the bytes that pass although the mode holds others. */
    const takePassed = (length: number): number => {
      if (limit !== lastLimit) {
        limit = lastLimit;
        passedBytes = 0;
      }
      const count = Math.min(length, limit.bytes - passedBytes);
      passedBytes += count;
      return count;
    };
    const forward = (
      bytes: Buffer,
      onReady: () => void,
      modeDelay?: Promise<void>,
    ): void => {
      queuedBytes += bytes.length;
      const isFull = link !== undefined || queuedBytes > QUEUE_BYTES;
      enqueue(async () => {
        for (const {packet, sent} of sendPackets(bytes)) {
          await sent;
          if (to.writable && !to.write(packet)) await waitForDrain(to);
        }
        queuedBytes -= bytes.length;
        if (isFull) onReady();
      }, modeDelay);
      if (!isFull) setImmediate(onReady);
    };
    return {
      /** Calls `onReady` when the sender may be read again. */
      send(bytes: Buffer, onReady: () => void): void {
        const passed = mode === 'hold' ? takePassed(bytes.length) : 0;
        if (passed === 0) return forward(bytes, onReady);
        const isWhole = passed === bytes.length;
        forward(
          bytes.subarray(0, passed),
          isWhole ? onReady : () => undefined,
          Promise.resolve(),
        );
        if (!isWhole) forward(bytes.subarray(passed), onReady);
      },
      end: () => enqueue(() => void to.end()),
      reset: () => enqueue(() => resetSocket(to)),
    };
  }

  async function waitForMode(): Promise<void> {
    if (mode === 'delay') {
      await new Promise((resolve) => setTimeout(resolve, delayMilliseconds));
    }
    if (mode === 'hold') {
      await new Promise<void>((resolve) => held.add(resolve));
    }
  }

  function accept(client: Socket): void {
    const toClient = createForwarder(client, downlink);
    const server = connect({
      host: address,
      port: targetPort,
      allowHalfOpen: true,
      // With data and a reset in one read, Node's streams report an end instead
      // of the reset, unless reading stops after the data.
      onread: {
        buffer: Buffer.allocUnsafe(READ_BUFFER_BYTES),
        callback(size, buffer) {
          const bytes = Buffer.from((buffer as Buffer).subarray(0, size));
          toClient.send(bytes, () => void server.resume());
          return false;
        },
      },
    });
    const toServer = createForwarder(server);
    const connection = {client, server};
    connections.add(connection);
    for (const [from, to, forwarder] of [
      [client, server, toServer],
      [server, client, toClient],
    ] as const) {
      from.setNoDelay(true);
      from.on('end', forwarder.end);
      from.on('error', forwarder.reset);
      from.on('close', (hasFailed) => {
        if (!hasFailed) to.destroy();
        if (client.destroyed && server.destroyed) {
          connections.delete(connection);
        }
      });
    }
    client.on('data', (bytes: Buffer) => {
      client.pause();
      toServer.send(bytes, () => void client.resume());
    });
  }

  let listener = createServer({allowHalfOpen: true}, accept);
  const port = await listenOn(listener, {host: address, port: 0});
  let isClosed = false;
  /** Waits while an outgoing connection uses the port. */
  async function start(): Promise<void> {
    listener = createServer({allowHalfOpen: true}, accept);
    try {
      await listenOn(listener, {host: address, port});
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'EADDRINUSE') throw error;
      await sleep(RETRY_MILLISECONDS);
      if (!isClosed) await start();
    }
  }
  function reset(): void {
    for (const {client, server} of [...connections]) {
      resetSocket(client);
      resetSocket(server);
    }
  }
  return {
    port,
    setTarget(port) {
      targetPort = port;
    },
    setMode(next, passedBytes = 0) {
      mode = next;
      lastLimit = {bytes: passedBytes};
      if (mode === 'hold') return;
      for (const release of held) release();
      held.clear();
    },
    reset,
    stop() {
      listener.close();
      reset();
    },
    start,
    halfClose(side) {
      for (const connection of connections) connection[side].end();
    },
    close() {
      isClosed = true;
      listener.close();
      for (const {client, server} of [...connections]) {
        client.destroy();
        server.destroy();
      }
    },
  };
}
