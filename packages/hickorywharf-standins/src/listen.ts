import {serve} from '@hono/node-server';
import type {Hono} from 'hono';

interface HttpListener {
  readonly port: number;
  close(): void;
}

interface ListenOptions {
  readonly address: string;
  /** 0 selects any free port. */
  readonly port: number;
}

/**
 * Serves an application over HTTP on a local address. Rejects if the address
 * cannot be bound.
 *
 * @example
 *     const {port} = await listen(new Hono(), {address: '127.0.0.1', port: 0});
 */
export function listen(
  application: {readonly fetch: Hono['fetch']},
  options: ListenOptions,
): Promise<HttpListener> {
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
