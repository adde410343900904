import * as z from 'zod';

const MAXIMUM_GENERATED_TOKENS = 100_000;

/** The JSON body of a request. */
export const requestBodySchema = z.strictObject({
  text: z.string(),
  parameters: z.record(z.string(), z.unknown()).optional(),
  maximumTokens: z.int().min(1).max(MAXIMUM_GENERATED_TOKENS).optional(),
  stream: z.boolean().optional(),
});
