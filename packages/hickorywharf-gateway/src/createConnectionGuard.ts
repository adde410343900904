import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {findConnectionToClose} from 'hickorywharf-decisions/gateway/findConnectionToClose';

interface ConnectionGuard {
  /** Number of open connections. */
  readonly size: number;
  /** Takes in a new connection, or closes it if there is no room for it. */
  add(socket: Socket): void;
  /** Records that the head of a request has arrived. */
  recordRequest(response: ServerResponse): void;
  /** Stops the checks. */
  close(): void;
}

interface ConnectionGuardOptions {
  /** Connections that may be open together. */
  readonly maximumConnections: number;
  /** Time in which the head of a request has to arrive. */
  getHeadMilliseconds(): number;
  /** Monotonic milliseconds. */
  now(): number;
  /** Called for a head that does not arrive in time; closes the connection. */
  onLateHead(socket: Socket): void;
  /** Called for each connection that is closed for room. */
  onClose(reason: 'idle' | 'new'): void;
}

interface GuardedConnection {
  readonly socket: Socket;
  /** Responses that are not sent yet. */
  readonly responses: Set<ServerResponse>;
  waitsFor: 'request' | 'reader' | 'system';
  progressedAt: number;
  /** Bytes that had been read and written at the last progress. */
  bytesRead: number;
  bytesSent: number;
  /** Checks since bytes of a further head have arrived. */
  headChecks: number;
}

const CHECK_MILLISECONDS = 1000;
/** Fewer bytes are no progress: a caller that sends single bytes has stalled. */
const PROGRESS_BYTES = 16_384;

/**
 * Bounds the connections of callers. Over the limit the one is closed whose
 * caller has brought nothing forward for longest, see `findConnectionToClose`;
 * the new one if all others have requests that this system works on. Heads that
 * do not arrive in time are ended; Node checks them every 30 s only.
 *
 * @example
 *     const guard = createConnectionGuard({maximumConnections: 1000, ...options});
 *     server.on('connection', guard.add);
 */
export function createConnectionGuard(
  options: ConnectionGuardOptions,
): ConnectionGuard {
  const {maximumConnections, now} = options;
  const connections = new Map<Socket, GuardedConnection>();

  const countSent = ({bytesWritten, writableLength}: Socket): number =>
    bytesWritten - writableLength;

  function recordProgress(connection: GuardedConnection): void {
    connection.progressedAt = now();
    connection.bytesRead = connection.socket.bytesRead;
    connection.bytesSent = countSent(connection.socket);
    connection.headChecks = 0;
  }

  /** Brings up to date what the connection waits for. */
  function update(connection: GuardedConnection): void {
    const {socket, responses} = connection;
    const moved = Math.max(
      socket.bytesRead - connection.bytesRead,
      countSent(socket) - connection.bytesSent,
    );
    const isWhole = [...responses].every(({req}) => req.complete);
    // A head without end is no progress, however long it is.
    if (responses.size > 0 && moved >= PROGRESS_BYTES) {
      recordProgress(connection);
    }
    if (socket.writableLength > 0) connection.waitsFor = 'reader';
    else if (responses.size > 0 && isWhole) connection.waitsFor = 'system';
    else connection.waitsFor = 'request';
  }

  function checkHead(connection: GuardedConnection): void {
    const {socket, responses, bytesRead} = connection;
    if (responses.size > 0 || socket.bytesRead === bytesRead) return;
    // Counted in checks, as a process that was held up has not read its input.
    connection.headChecks += 1;
    const limit = options.getHeadMilliseconds() / CHECK_MILLISECONDS + 1;
    if (connection.headChecks > limit) options.onLateHead(socket);
  }

  const timer = setInterval(() => {
    for (const connection of connections.values()) {
      checkHead(connection);
      // Progress is of use only where connections are closed for others.
      if (2 * connections.size > maximumConnections) update(connection);
    }
  }, CHECK_MILLISECONDS).unref();

  function makeRoom(): boolean {
    if (connections.size < maximumConnections) return true;
    for (const connection of connections.values()) update(connection);
    const found = findConnectionToClose(connections.values(), now());
    options.onClose(found === undefined ? 'new' : 'idle');
    if (found === undefined) return false;
    connections.delete(found.socket);
    found.socket.destroy();
    return true;
  }

  return {
    get size() {
      return connections.size;
    },
    add(socket) {
      if (!makeRoom()) {
        socket.destroy();
        return;
      }
      connections.set(socket, {
        socket,
        responses: new Set(),
        waitsFor: 'request',
        progressedAt: now(),
        bytesRead: 0,
        bytesSent: 0,
        headChecks: 0,
      });
      socket.once('close', () => connections.delete(socket));
    },
    recordRequest(response) {
      const connection = connections.get(response.req.socket);
      if (connection === undefined) return;
      connection.responses.add(response);
      recordProgress(connection);
      response.once('close', () => {
        connection.responses.delete(response);
        recordProgress(connection);
      });
    },
    close: () => clearInterval(timer),
  };
}
