import type * as z from 'zod';

/**
 * Checks what a backend responded, as the peer of a frame that carries another
 * value closes the connection, with all that is in flight on it.
 *
 * @throws Error if the response has another format
 * @example
 *     parseResponse(z.object({documents: z.array(z.string())}), response);
 */
export function parseResponse<Schema extends z.ZodType>(
  schema: Schema,
  response: unknown,
): z.output<Schema> {
  const parsed = schema.safeParse(response);
  if (parsed.success) return parsed.data;
  const {path = [], message = ''} = parsed.error.issues[0] ?? {};
  const field = path.length > 0 ? `'${path.join('.')}': ` : '';
  throw new Error(`the backend's response is invalid: ${field}${message}`);
}
