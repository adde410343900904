import * as z from 'zod';

const names = z.array(z.string()).default([]);

/** The schema of an operator's file that assigns records to halves. */
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
