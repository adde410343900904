import net from 'node:net';
import {isSocketAddress} from 'hickorywharf-utils/isSocketAddress';

interface Address {
  readonly host: string;
  readonly port: number;
}

/**
 * `refused` and `unreachable` say that no process accepts connections there;
 * `failed` that this instance could not try.
 */
type ProbeResult = 'accepted' | 'refused' | 'unreachable' | 'failed';

/** Connecting takes a few milliseconds within a region. */
const TIMEOUT_MILLISECONDS = 400;

const RESULTS_BY_CODE: Readonly<Record<string, ProbeResult>> = {
  ECONNREFUSED: 'refused',
  // Accepted, then reset.
  ECONNRESET: 'accepted',
  EHOSTUNREACH: 'unreachable',
  ENETUNREACH: 'unreachable',
  ETIMEDOUT: 'unreachable',
};

/**
 * Finds out whether a process accepts connections at an address. No byte is
 * sent.
 *
 * @returns never rejects
 * @example
 *     await probeAddress({host: '10.1.64.41', port: 8569}); // 'refused'
 */
export function probeAddress({host, port}: Address): Promise<ProbeResult> {
  if (!isSocketAddress({host, port})) return Promise.resolve('failed');
  return new Promise((resolve) => {
    const socket = net.connect({host, port});
    const finish = (result: ProbeResult): void => {
      socket.destroy();
      resolve(result);
    };
    socket.setTimeout(TIMEOUT_MILLISECONDS, () => finish('unreachable'));
    socket.on('connect', () => finish('accepted'));
    socket.on('error', ({code}: NodeJS.ErrnoException) =>
      finish(RESULTS_BY_CODE[code ?? ''] ?? 'failed'),
    );
  });
}
