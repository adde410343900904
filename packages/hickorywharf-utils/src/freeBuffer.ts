import {MessageChannel, type MessagePort} from 'node:worker_threads';

let closedPort: MessagePort | null = null;

function getClosedPort(): MessagePort {
  if (closedPort === null) {
    const {port1} = new MessageChannel();
    port1.close();
    closedPort = port1;
  }
  return closedPort;
}

/**
 * Frees the memory of a buffer at once. Otherwise it is held until the next
 * garbage collection, before which tens of megabytes may have arrived. The
 * buffer is empty afterwards. It must not be one that a socket still has to
 * write. A buffer that shares its memory with others is left as it is.
 *
 * The memory is transferred to a port that is closed, as Node.js 20 has no
 * `ArrayBuffer.prototype.transfer`.
 *
 * @example
 *     const block = Buffer.allocUnsafeSlow(65_536);
 *     freeBuffer(block);
 *     block.length; // 0
 */
export function freeBuffer({buffer, byteLength}: Buffer): void {
  const isShared =
    !(buffer instanceof ArrayBuffer) || buffer.byteLength !== byteLength;
  if (isShared || byteLength === 0) return;
  getClosedPort().postMessage(null, [buffer]);
}
