import {serve} from '@hono/node-server';
import {Hono} from 'hono';
import type {OperatorsState} from './operatorsState.ts';

interface OperatorsServerOptions {
  readonly address: string;
  /** TCP port; 0 to start no server. */
  readonly port: number;
  readonly getState: () => OperatorsState;
  /** Called where the address cannot be bound; the process continues. */
  readonly onError: (error: Error) => void;
}

interface OperatorsServer {
  close(): void;
}

/**
 * Starts a server that returns the state of a process, as JSON on
 * `GET /v1/state`.
 *
 * @example
 *     const server = startOperatorsServer({address, port, getState, onError});
 *     server.close();
 */
export function startOperatorsServer(
  options: OperatorsServerOptions,
): OperatorsServer {
  const {address, port, getState, onError} = options;
  if (port === 0) return {close: () => undefined};
  const application = new Hono();
  application.get('/v1/state', (context) => context.json(getState()));
  const server = serve({fetch: application.fetch, hostname: address, port});
  server.on('error', onError);
  return {close: () => void server.close()};
}
