import {createInterface} from 'node:readline';
import {Agent, request} from 'undici';

interface BenchmarkCallsOptions {
  readonly entryUrl: string;
  readonly encoderUrl: string;
  readonly accountKey: string;
}

interface BenchmarkCalls {
  /** Duration of a call to the encoder's stand-in itself, in milliseconds. */
  callDirectly(number: number): Promise<number>;
  /** Duration of the same call through an entry and an endpoint process. */
  callThroughEntry(number: number): Promise<number>;
  /** Streams a generation and resolves with the number of tokens received. */
  stream(number: number, tokens: number): Promise<number>;
  close(): Promise<void>;
}

const DATA_PREFIX = 'data: ';

/** Counts the tokens in a line of a stream; its last event repeats none. */
function countTokens(line: string): number {
  if (!line.startsWith(DATA_PREFIX)) return 0;
  const data = JSON.parse(line.slice(DATA_PREFIX.length)) as {
    tokens?: readonly string[];
  };
  return data.tokens?.length ?? 0;
}

/**
 * Creates the HTTP calls of the benchmark. A call rejects if its status is not
 * 200; a stream just receives fewer tokens.
 *
 * @example
 *     const calls = createBenchmarkCalls(options);
 *     await calls.callDirectly(1);
 */
export function createBenchmarkCalls(
  options: BenchmarkCallsOptions,
): BenchmarkCalls {
  const {entryUrl, encoderUrl, accountKey} = options;
  const dispatcher = new Agent({connections: 512});
  const headers = {
    'content-type': 'application/json',
    authorization: `Bearer ${accountKey}`,
  };

  function post(url: string, body: unknown) {
    return request(url, {
      method: 'POST',
      dispatcher,
      headers,
      body: JSON.stringify(body),
    });
  }

  async function measureCall(url: string, number: number): Promise<number> {
    const startedAt = performance.now();
    const reply = await post(url, {text: `text ${number}`});
    await reply.body.dump();
    if (reply.statusCode !== 200) throw new Error(`status ${reply.statusCode}`);
    return performance.now() - startedAt;
  }

  return {
    callDirectly: (number) => measureCall(`${encoderUrl}/v1/encode`, number),
    callThroughEntry: (number) =>
      measureCall(`${entryUrl}/v1/pipelines/encode-only/requests`, number),
    async stream(number, tokens) {
      const url = `${entryUrl}/v1/pipelines/generate-only/requests`;
      const text = `prompt ${number}`;
      const body = {text, maximumTokens: tokens, stream: true};
      const reply = await post(url, body);
      let received = 0;
      for await (const line of createInterface({input: reply.body})) {
        received += countTokens(line);
      }
      return received;
    },
    close: () => dispatcher.close(),
  };
}
