import {createHash} from 'node:crypto';
import {REQUEST_PREFIX} from './requestPrefix.ts';

interface IdentifiedRequest {
  readonly method: string;
  readonly host: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  /** Name of the client account; null for a call without a key. */
  readonly account: string | null;
  readonly body: Buffer;
}

/** 128 bits. */
const DIGEST_CHARACTERS = 22;

/**
 * Names a request by all that stays the same when a caller sends it again: not
 * its id, and not the time left.
 *
 * @example
 *     identifyRequest({method: 'GET', host: 'a', target: '/', account: null, body});
 *     // 'request,pq4o…'
 */
export function identifyRequest(request: IdentifiedRequest): string {
  const {method, host, target, account, body} = request;
  const hash = createHash('sha256')
    // JSON has no line feed, so that the body can't pass for another field.
    .update(`${JSON.stringify([method, host, target, account])}\n`)
    .update(body)
    .digest('base64url');
  return REQUEST_PREFIX + hash.slice(0, DIGEST_CHARACTERS);
}
