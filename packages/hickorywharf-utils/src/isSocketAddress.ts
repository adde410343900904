import {isIPv4} from 'node:net';

const MAXIMUM_PORT = 65_535;

/**
 * Whether a TCP connection can be tried at an address: an IPv4 address and a
 * port from 1 to 65535. Node throws for other ports, and looks up other hosts.
 *
 * @example
 *     isSocketAddress({host: '10.1.64.9', port: 80800}); // false
 */
export function isSocketAddress({
  host,
  port,
}: {
  readonly host: string;
  readonly port: number;
}): boolean {
  return (
    isIPv4(host) && Number.isInteger(port) && port > 0 && port <= MAXIMUM_PORT
  );
}
