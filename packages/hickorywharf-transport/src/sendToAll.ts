import type {Frame} from 'hickorywharf-types/frame';
import type {Connection} from './connection.ts';
import {encodeFrame} from './encodeFrame.ts';

/**
 * Sends a frame to several peers; it is encoded once. Those that are not
 * connected any more are left out.
 *
 * @example
 *     sendToAll(connections, {tag: 'fetchConfiguration', afterSequence: 3});
 */
export function sendToAll(
  connections: Iterable<Pick<Connection, 'sendEncoded'>>,
  frame: Frame,
): void {
  const open = [...connections];
  if (open.length === 0) return;
  const bytes = encodeFrame(frame);
  for (const connection of open) connection.sendEncoded(bytes, frame.tag);
}
