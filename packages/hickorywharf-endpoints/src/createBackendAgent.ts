import {Agent} from 'undici';

/**
 * Creates the HTTP agent of a backend, which uses a new connection for each
 * call. The answers of backends do not name their call: a second answer to an
 * earlier call on a connection would pass for the answer to the next one.
 *
 * @example
 *     const dispatcher = createBackendAgent({bodyTimeout: 0});
 */
export function createBackendAgent(options: Agent.Options): Agent {
  // In undici, 0 disables keep-alive.
  return new Agent({...options, pipelining: 0});
}
