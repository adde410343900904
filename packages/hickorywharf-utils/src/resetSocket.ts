import type {Socket} from 'node:net';

/**
 * Resets a connection. If its sending direction is being closed, it is reset
 * right after that: libuv refuses a reset meanwhile, upon which Node never
 * closes the handle and the thread never ends.
 *
 * @example
 *     socket.end();
 *     resetSocket(socket);
 */
export function resetSocket(socket: Socket): void {
  const isShuttingDown =
    !socket.destroyed &&
    socket.writableEnded &&
    socket.writableLength === 0 &&
    !socket.writableFinished;
  if (isShuttingDown) socket.once('finish', () => socket.resetAndDestroy());
  else socket.resetAndDestroy();
}
