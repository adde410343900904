import {request, type Dispatcher} from 'undici';

interface PostJsonOptions {
  readonly url: string;
  readonly body: unknown;
  /** W3C trace context of the call, or null. */
  readonly traceparent: string | null;
  readonly dispatcher: Dispatcher;
  readonly signal: AbortSignal;
}

/**
 * Posts JSON and reads a JSON object back. Rejects on any status but 200.
 *
 * @example
 *     await postJson({url, body, traceparent: null, dispatcher, signal});
 */
export async function postJson(
  options: PostJsonOptions,
): Promise<Record<string, unknown>> {
  const {url, body, traceparent, dispatcher, signal} = options;
  const reply = await request(url, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      ...(traceparent === null ? {} : {traceparent}),
    },
    body: JSON.stringify(body),
    dispatcher,
    signal,
  });
  if (reply.statusCode !== 200) {
    await reply.body.dump();
    throw new Error(`the backend answered ${reply.statusCode}`);
  }
  return (await reply.body.json()) as Record<string, unknown>;
}
