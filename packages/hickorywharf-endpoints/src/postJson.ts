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
 * Posts JSON and returns the JSON of the response, of any type. Rejects on any
 * status other than 200, a network error or an aborted signal.
 *
 * @example
 *     await postJson({url, body, traceparent: null, dispatcher, signal});
 */
export async function postJson(options: PostJsonOptions): Promise<unknown> {
  const {url, body, traceparent, dispatcher, signal} = options;
  const response = await request(url, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      ...(traceparent === null ? {} : {traceparent}),
    },
    body: JSON.stringify(body),
    dispatcher,
    signal,
  });
  if (response.statusCode !== 200) {
    await response.body.dump();
    throw new Error(`the backend responded with status ${response.statusCode}`);
  }
  return response.body.json();
}
