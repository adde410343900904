import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';

interface TrackedConnection {
  readonly responses: Set<ServerResponse>;
  /** Whether bytes arrived that are no request; none is read after them. */
  isMalformed: boolean;
  /** Whether the last request has arrived whole. */
  isRequestWhole: boolean;
  /** Bytes that had arrived when the last response was sent. */
  bytesRead: number;
}

interface ResponseTracker {
  /** Tracks the response to a request until it is sent or given up. */
  add(response: ServerResponse): void;
  /**
   * Handles bytes that are no request, or one that does not arrive in time.
   * True if a response to a whole request is still due on the connection: the
   * caller would take anything else for a part of it. The connection is then
   * closed after the last such response.
   */
  finishMalformed(error: NodeJS.ErrnoException, socket: Duplex): boolean;
  /**
   * Closes the connections whose responses are all sent, unless a further
   * request has begun to arrive. Node's `closeIdleConnections` also closes those
   * of responses that have been ended but not sent.
   */
  closeIdle(): void;
}

/** Node's code for the end of a connection within a request. */
const CALLER_ENDED = 'HPE_INVALID_EOF_STATE';

/**
 * Tracks which responses the connections of an HTTP server are due.
 *
 * @example
 *     const responses = createResponseTracker();
 *     server.on('request', (_request, response) => responses.add(response));
 *     server.on('clientError', (error, socket) => {
 *       if (!responses.finishMalformed(error, socket)) socket.end(refusal);
 *     });
 */
export function createResponseTracker(): ResponseTracker {
  const connections = new Map<Duplex, TrackedConnection>();

  function isOwed({responses}: TrackedConnection): boolean {
    return [...responses].some(({req}) => req.complete);
  }

  function track(socket: Socket): TrackedConnection {
    const connection: TrackedConnection = {
      responses: new Set(),
      isMalformed: false,
      isRequestWhole: false,
      bytesRead: 0,
    };
    connections.set(socket, connection);
    socket.once('close', () => connections.delete(socket));
    return connection;
  }

  return {
    add(response) {
      const {socket} = response.req;
      const connection = connections.get(socket) ?? track(socket);
      connection.responses.add(response);
      response.once('close', () => {
        connection.responses.delete(response);
        connection.isRequestWhole = response.req.complete;
        connection.bytesRead = socket.bytesRead;
        if (connection.isMalformed && !isOwed(connection)) socket.end();
      });
    },
    finishMalformed({code}, socket) {
      const connection = connections.get(socket);
      const isOpen = socket.writable && code !== 'ECONNRESET';
      if (!isOpen || connection === undefined || !isOwed(connection)) {
        return false;
      }
      connection.isMalformed = true;
      // A caller that has closed its side waits for no response.
      if (code === CALLER_ENDED) socket.destroy();
      return true;
    },
    closeIdle() {
      for (const [socket, connection] of connections) {
        const {responses, isRequestWhole, bytesRead} = connection;
        const isIdle =
          responses.size === 0 &&
          isRequestWhole &&
          (socket as Socket).bytesRead === bytesRead;
        if (isIdle) socket.destroy();
      }
    },
  };
}
