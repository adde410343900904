import type {ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';

interface TrackedConnection {
  readonly responses: Set<ServerResponse>;
  /** Whether bytes arrived that are no request; none is read after them. */
  isMalformed: boolean;
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
  const connections = new WeakMap<Duplex, TrackedConnection>();

  function isOwed({responses}: TrackedConnection): boolean {
    return [...responses].some(({req}) => req.complete);
  }

  return {
    add(response) {
      const {socket} = response.req;
      const connection = connections.get(socket) ?? {
        responses: new Set(),
        isMalformed: false,
      };
      connections.set(socket, connection);
      connection.responses.add(response);
      response.once('close', () => {
        connection.responses.delete(response);
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
  };
}
