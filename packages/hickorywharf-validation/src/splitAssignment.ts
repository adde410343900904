import {z} from 'zod';

const names = z.array(z.string()).default([]);

/** An operators' file that says which records each half takes. */
export const splitAssignment = z.strictObject({
  halves: z.record(
    z
      .string()
      .regex(
        /^[a-z0-9][a-z0-9.-]*$/,
        'use lower-case letters, digits, . and -',
      ),
    z.strictObject({endpoints: names, accounts: names, routes: names}),
  ),
});
