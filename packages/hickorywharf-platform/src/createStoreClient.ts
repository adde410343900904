import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {Agent, request} from 'undici';
import type {StoreClient} from './storeClient.ts';
import type {StoreError} from './storeError.ts';
import type {StoreItem} from './storeItem.ts';

const TIMEOUT_MILLISECONDS = 2000;
const CONNECT_TIMEOUT_MILLISECONDS = 1000;

/** Failures after which no byte of the call can have reached the store. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Statuses of refused calls: nothing was written, and no retry can succeed. */
const REFUSED_STATUSES: ReadonlySet<number> = new Set([400, 410, 413]);

interface StoreResponse {
  readonly status: number;
  readonly body: unknown;
}

interface Call {
  readonly method: 'GET' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  /** How long the store may hold the call, on top of the timeout. */
  readonly waitMilliseconds?: number;
}

/**
 * Creates a client of the platform's store over its HTTP interface. A write
 * that fails is `ambiguous` where the store may have applied it all the same.
 *
 * @param url base address of the store, with an IP address as its host
 * @example
 *     const store = createStoreClient('http://127.0.0.1:7000');
 *     await store.get('homes/desk');
 */
export function createStoreClient(url: string): StoreClient {
  const dispatcher = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MILLISECONDS},
    connections: 4,
    // Disables keep-alive: answers do not name their call, so a second answer to
    // an earlier call would pass for the answer to the next one.
    pipelining: 0,
  });

  function toError(tag: StoreError['tag'], message: string): StoreError {
    return {tag, step: 'claim', peer: url, message};
  }

  async function exchange(call: Call): Promise<StoreResponse> {
    const timeout = TIMEOUT_MILLISECONDS + (call.waitMilliseconds ?? 0);
    const {statusCode, body} = await request(`${url}${call.path}`, {
      method: call.method,
      dispatcher,
      headersTimeout: timeout,
      bodyTimeout: timeout,
      headers: {'content-type': 'application/json'},
      ...(call.body === undefined ? {} : {body: JSON.stringify(call.body)}),
    });
    return {status: statusCode, body: await body.json()};
  }

  function execute(call: Call): ResultAsync<StoreResponse, StoreError> {
    return ResultAsync.fromPromise(exchange(call), (error) => {
      const {code = '', message} = error as Error & {code?: string};
      const isUnsent = call.method === 'GET' || UNSENT_CODES.has(code);
      return toError(isUnsent ? 'unavailable' : 'ambiguous', message);
    }).andThen((response) => {
      if (response.status === 429) {
        return errAsync(
          toError('unavailable', 'the store is at its rate limit'),
        );
      }
      if (response.status >= 500) {
        const tag = call.method === 'GET' ? 'unavailable' : 'ambiguous';
        return errAsync(
          toError(tag, `the store responded with status ${response.status}`),
        );
      }
      if (REFUSED_STATUSES.has(response.status)) {
        const {error = ''} = response.body as {error?: string};
        return errAsync(toError('unavailable', `the store refused: ${error}`));
      }
      return okAsync(response);
    });
  }

  return {
    get: (key) =>
      execute({
        method: 'GET',
        path: `/v1/keys/${encodeURIComponent(key)}`,
      }).map(({status, body}) => (status === 404 ? null : (body as StoreItem))),
    list: (prefix) =>
      execute({
        method: 'GET',
        path: `/v1/keys?prefix=${encodeURIComponent(prefix)}`,
      }).map(({body}) => (body as {items: StoreItem[]}).items),
    compareAndSwap: (key, value, expectedRevision) =>
      execute({
        method: 'PUT',
        path: `/v1/keys/${encodeURIComponent(key)}?expected=${expectedRevision}`,
        body: {value},
      }).andThen(({status, body}) =>
        status === 409
          ? errAsync(toError('conflict', 'the key has another revision'))
          : okAsync((body as {revision: number}).revision),
      ),
    remove: (key, expectedRevision) =>
      execute({
        method: 'DELETE',
        path: `/v1/keys/${encodeURIComponent(key)}?expected=${expectedRevision}`,
      }).andThen(({status}) =>
        status === 409
          ? errAsync(toError('conflict', 'the key has another revision'))
          : okAsync(null),
      ),
    watch: (prefix, afterRevision, waitMilliseconds) =>
      execute({
        method: 'GET',
        path: `/v1/watch?prefix=${encodeURIComponent(prefix)}&after=${afterRevision}&wait=${waitMilliseconds}`,
        waitMilliseconds,
      }).map(({body}) => body as {items: StoreItem[]; revision: number}),
  };
}
