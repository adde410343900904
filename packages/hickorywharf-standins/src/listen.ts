import {serve} from '@hono/node-server';
import type {Hono} from 'hono';

interface Listening {
  readonly port: number;
  close(): void;
}

interface ListenOptions {
  readonly address: string;
  /** 0 for any free port. */
  readonly port: number;
}

/**
 * Serves an application on an address of this machine.
 *
 * @example
 *     const {port} = await listen(new Hono(), {address: '127.0.0.1', port: 0});
 */
export function listen(
  application: {readonly fetch: Hono['fetch']},
  options: ListenOptions,
): Promise<Listening> {
  return new Promise((resolve, reject) => {
    const server = serve(
      {
        fetch: application.fetch,
        hostname: options.address,
        port: options.port,
      },
      ({port}) => resolve({port, close: () => void server.close()}),
    );
    server.on('error', reject);
  });
}
