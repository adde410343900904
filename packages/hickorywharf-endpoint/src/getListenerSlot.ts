import {readFileSync, readlinkSync} from 'node:fs';

const BOOT_FILE = '/proc/sys/kernel/random/boot_id';
/** Where the listening address, and where the monotonic clock, are unique. */
const NAMESPACE_LINKS = ['/proc/self/ns/net', '/proc/self/ns/time'];

/**
 * Names what only one process can hold: a listening address of one running
 * kernel. A process that listens there knows that an earlier holder is gone,
 * and reads the same monotonic clock. Empty where that cannot be told.
 *
 * @example
 *     getListenerSlot({address: '127.0.0.1', port: 7100});
 */
export function getListenerSlot(listen: {
  readonly address: string;
  readonly port: number;
}): string {
  if (listen.port === 0) return '';
  try {
    const boot = readFileSync(BOOT_FILE, 'utf8').trim();
    const namespaces = NAMESPACE_LINKS.map((link) => readlinkSync(link));
    return [boot, ...namespaces, listen.address, listen.port].join('/');
  } catch {
    return '';
  }
}
