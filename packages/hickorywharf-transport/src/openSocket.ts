import {connect, type Socket} from 'node:net';
import {connect as connectSecurely} from 'node:tls';
import type {TlsCredentials} from './tlsCredentials.ts';

interface OpenSocketOptions {
  readonly address: string;
  readonly port: number;
  /** Null for plain TCP. */
  readonly credentials: TlsCredentials | null;
}

/**
 * Opens a socket to another process of the system. With credentials, each side
 * requires a certificate that its authority signed. Host names are not checked,
 * since processes are addressed by IP; the hello frame carries the peer's name.
 *
 * @example
 *     openSocket({address: '127.0.0.1', port: 7000, credentials: null});
 */
export function openSocket(options: OpenSocketOptions): Socket {
  const {address, port, credentials} = options;
  if (credentials === null) return connect({host: address, port});
  return connectSecurely({
    host: address,
    port,
    cert: credentials.certificate,
    key: credentials.key,
    ca: credentials.authority,
    checkServerIdentity: () => undefined,
  });
}
