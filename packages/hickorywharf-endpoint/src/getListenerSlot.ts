import {readFileSync, readlinkSync} from 'node:fs';

const BOOT_FILE = '/proc/sys/kernel/random/boot_id';
/** Namespaces in which the address and the monotonic clock are unique. */
const NAMESPACE_LINKS = ['/proc/self/ns/net', '/proc/self/ns/time'];

/**
 * Identifies a listening address on one boot of a kernel, which only one
 * process can hold at a time. A process that listens there knows that an
 * earlier holder has ended, and reads the same monotonic clock. Empty if the
 * port is not fixed or the kernel does not expose the identifiers.
 *
 * @example
 *     getListenerSlot({address: '127.0.0.1', port: 0}); // ''
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
