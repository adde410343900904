import {Agent, request} from 'undici';

interface BenchmarkCallsOptions {
  readonly entryUrl: string;
  readonly encoderUrl: string;
  readonly accountKey: string;
}

interface BenchmarkCalls {
  /** Times one call of the encoder's stand-in itself, in milliseconds. */
  callDirectly(number: number): Promise<number>;
  /** Times the same call through an entry and an endpoint process. */
  callThrough(number: number): Promise<number>;
  /** Streams a generation; gives the number of tokens received. */
  stream(number: number, tokens: number): Promise<number>;
  close(): Promise<void>;
}

const TOKENS_EVENT = Buffer.from('event: tokens');

function countEvents(bytes: Buffer): number {
  let count = 0;
  let position = bytes.indexOf(TOKENS_EVENT);
  while (position !== -1) {
    count += 1;
    position = bytes.indexOf(TOKENS_EVENT, position + TOKENS_EVENT.length);
  }
  return count;
}

/**
 * The calls that the benchmark makes.
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

  async function time(url: string, number: number): Promise<number> {
    const startedAt = performance.now();
    const reply = await post(url, {text: `text ${number}`});
    await reply.body.dump();
    if (reply.statusCode !== 200) throw new Error(`${reply.statusCode}`);
    return performance.now() - startedAt;
  }

  return {
    callDirectly: (number) => time(`${encoderUrl}/v1/encode`, number),
    callThrough: (number) =>
      time(`${entryUrl}/v1/pipelines/encode-only/requests`, number),
    async stream(number, tokens) {
      const url = `${entryUrl}/v1/pipelines/generate-only/requests`;
      const text = `prompt ${number}`;
      const body = {text, maximumTokens: tokens, stream: true};
      const reply = await post(url, body);
      let received = 0;
      for await (const chunk of reply.body) {
        received += countEvents(chunk as Buffer);
      }
      return received;
    },
    close: () => dispatcher.close(),
  };
}
