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

/** Answers after which nothing was written, whatever is tried again. */
const REFUSED_STATUSES: ReadonlySet<number> = new Set([400, 410, 413]);

interface Reply {
  readonly status: number;
  readonly body: unknown;
}

interface Call {
  readonly method: 'GET' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly waitMilliseconds?: number;
}

/**
 * A client of the platform's store over its HTTP interface.
 *
 * @param url base address of the store, by IP number
 * @example
 *     const store = createStoreClient('http://127.0.0.1:7000');
 *     await store.get('homes/desk');
 */
export function createStoreClient(url: string): StoreClient {
  const dispatcher = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MILLISECONDS},
    connections: 4,
  });

  function toError(tag: StoreError['tag'], message: string): StoreError {
    return {tag, step: 'claim', peer: url, message};
  }

  async function exchange(call: Call): Promise<Reply> {
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

  function execute(call: Call): ResultAsync<Reply, StoreError> {
    return ResultAsync.fromPromise(exchange(call), (error) => {
      const {code = '', message} = error as Error & {code?: string};
      const isUnsent = call.method === 'GET' || UNSENT_CODES.has(code);
      return toError(isUnsent ? 'unavailable' : 'ambiguous', message);
    }).andThen((reply) => {
      if (reply.status === 429) {
        return errAsync(toError('unavailable', 'the store is at its limit'));
      }
      if (reply.status >= 500) {
        const tag = call.method === 'GET' ? 'unavailable' : 'ambiguous';
        return errAsync(toError(tag, `the store answered ${reply.status}`));
      }
      if (REFUSED_STATUSES.has(reply.status)) {
        const {error = ''} = reply.body as {error?: string};
        return errAsync(toError('unavailable', `the store refused: ${error}`));
      }
      return okAsync(reply);
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
          ? errAsync(toError('conflict', 'another write came first'))
          : okAsync((body as {revision: number}).revision),
      ),
    remove: (key, expectedRevision) =>
      execute({
        method: 'DELETE',
        path: `/v1/keys/${encodeURIComponent(key)}?expected=${expectedRevision}`,
      }).andThen(({status}) =>
        status === 409
          ? errAsync(toError('conflict', 'another write came first'))
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
