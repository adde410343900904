interface LineLimits {
  /** The longest line that is accepted. */
  readonly maximumLineBytes: number;
  /** The longest body that is accepted. */
  readonly maximumBytes: number;
}

/**
 * Reads the lines of a body as they arrive, without empty ones. Throws if a line
 * or the body is longer than its limit. The body is destroyed once no more lines
 * are taken.
 *
 * @example
 *     for await (const line of readLines(response.body, limits)) handle(line);
 */
export async function* readLines(
  body: AsyncIterable<Uint8Array>,
  limits: LineLimits,
): AsyncGenerator<string> {
  const {maximumLineBytes, maximumBytes} = limits;
  const decoder = new TextDecoder();
  let readBytes = 0;
  let rest = '';
  for await (const chunk of body) {
    readBytes += chunk.length;
    if (readBytes > maximumBytes) {
      throw new Error(`the body is longer than ${maximumBytes} bytes`);
    }
    const lines = (rest + decoder.decode(chunk, {stream: true})).split('\n');
    rest = lines.pop()!;
    if (rest.length > maximumLineBytes) {
      throw new Error(`a line is longer than ${maximumLineBytes} bytes`);
    }
    for (const line of lines) {
      const content = line.endsWith('\r') ? line.slice(0, -1) : line;
      if (content !== '') yield content;
    }
  }
  rest += decoder.decode();
  if (rest !== '') yield rest;
}
